#include "writepermission.h"
