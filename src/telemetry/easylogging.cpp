// Debian ships easylogging++ as source that each program compiles in.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
