#include "postgresconnection.h"
