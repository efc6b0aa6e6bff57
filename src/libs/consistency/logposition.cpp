#include "logposition.h"
