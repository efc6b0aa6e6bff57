#include "readrule.h"
