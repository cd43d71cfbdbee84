#pragma once

// All files include toml++ through this header, which disables its exceptions: parse errors are
// returned as results.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>
