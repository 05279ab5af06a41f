#include "berylridge/Router/Core.h"
