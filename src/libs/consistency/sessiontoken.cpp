#include "sessiontoken.h"
