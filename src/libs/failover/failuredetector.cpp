#include "failuredetector.h"
