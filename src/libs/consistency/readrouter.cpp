#include "readrouter.h"
