#include "lineage.h"
