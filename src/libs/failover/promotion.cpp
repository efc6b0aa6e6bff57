#include "promotion.h"
