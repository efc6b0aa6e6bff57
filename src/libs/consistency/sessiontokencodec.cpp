#include "sessiontokencodec.h"
