#pragma once

// toml++ as all files of the project use it. Parse failures are results here, as everywhere else.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>
