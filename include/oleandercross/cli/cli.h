#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace oleandercross::cli {

// The environment variables that the program reads.
using Environment = std::map<std::string, std::string>;

// The variables of this process that the program reads.
Environment processEnvironment();

// Runs the command line tool. `arguments` excludes the program's name. Answers go to `out`, errors
// with their number to `err`. Returns the shell's exit status, see core::exitStatus().
int run(const std::vector<std::string> &arguments, const Environment &environment,
        std::ostream &out, std::ostream &err);

} // namespace oleandercross::cli
