#include "replicaage.h"
