#include "measure.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <exception>
#include <map>

namespace oleandercross::bench {

namespace {

std::map<std::string, Measure> &measures()
{
    static std::map<std::string, Measure> all;
    return all;
}

bool meetsTarget(const Line &line)
{
    if (!line.target)
        return true;
    double value = line.value;
    if (line.target->on == Target::On::RatioToBaseline) {
        if (!line.baseline || *line.baseline == 0)
            return false;
        value /= *line.baseline;
    }
    return line.target->direction == Target::Direction::AtMost ? value <= line.target->bound
                                                               : value >= line.target->bound;
}

void print(const Line &line)
{
    std::printf("%s %.6g %s ", line.name.c_str(), line.value, line.unit.c_str());
    if (line.baseline)
        std::printf("%.6g\n", *line.baseline);
    else
        std::printf("-\n");
}

int run(const Measure &measure, const Options &options)
{
    int status = 0;
    for (const Line &line : measure(options)) {
        print(line);
        if (!meetsTarget(line)) {
            std::fprintf(stderr, "target missed: %s\n", line.name.c_str());
            status = 1;
        }
    }
    return status;
}

} // namespace

Registration::Registration(const std::string &verb, Measure measure)
{
    measures()[verb] = std::move(measure);
}

} // namespace oleandercross::bench

int main(int argc, char **argv)
{
    using namespace oleandercross::bench;
    CLI::App app("Measures oleandercross; prints `name value unit baseline` lines");
    Options options;
    std::string verb;
    std::vector<std::string> verbs;
    for (const auto &[name, measure] : measures())
        verbs.push_back(name);
    app.add_option("measure", verb, "measurement to run")->required()->check(CLI::IsMember(verbs));
    app.add_option("--seed", options.seed, "random seed of the generated load");
    app.add_option("--account-mix", options.accountMix, "account mix of the generated load")
        ->check(CLI::IsMember({"wrekin", "prairie"}));
    CLI11_PARSE(app, argc, argv);
    try {
        return run(measures().at(verb), options);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "measurement %s failed: %s\n", verb.c_str(), error.what());
        return 1;
    }
}
