#include "evidence.h"
