#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace oleandercross::cli {

// Environment variables by name.
using Environment = std::map<std::string, std::string>;

// Returns those environment variables of this process that the tool uses.
Environment processEnvironment();

// Runs the command line tool. `arguments` excludes the program name. Writes results to `out` and
// errors to `err`. Returns the exit status, see core::exitStatus().
int run(const std::vector<std::string> &arguments, const Environment &environment,
        std::ostream &out, std::ostream &err);

} // namespace oleandercross::cli
