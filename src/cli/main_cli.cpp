#include <oleandercross/cli/cli.h>

#include <iostream>

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return oleandercross::cli::run(arguments, oleandercross::cli::processEnvironment(), std::cout,
                                   std::cerr);
}
