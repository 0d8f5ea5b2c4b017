#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::bench {

struct Options
{
    std::uint64_t seed = 1;
    // "wrekin" or "prairie".
    std::string accountMix = "wrekin";
};

// A stated bound of a measure, either on the value or on its ratio to the baseline.
struct Target
{
    enum class On { Value, RatioToBaseline };
    enum class Direction { AtMost, AtLeast };

    On on = On::Value;
    Direction direction = Direction::AtMost;
    double bound = 0;
};

// One output line, `name value unit baseline`.
struct Line
{
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> baseline;
    std::optional<Target> target;
};

using Measure = std::function<std::vector<Line>(const Options &)>;

// Makes a measure available as a verb of the program; define one static object per measure.
class Registration
{
public:
    Registration(const std::string &verb, Measure measure);
};

} // namespace oleandercross::bench
