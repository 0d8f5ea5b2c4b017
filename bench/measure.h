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
    // "wrekin" or "prairie", the deployments whose load is generated.
    std::string accountMix = "wrekin";
};

// A bound that a measured value, or its ratio to the baseline, has to meet.
struct Target
{
    enum class On { Value, RatioToBaseline };
    enum class Direction { AtMost, AtLeast };

    On on = On::Value;
    Direction direction = Direction::AtMost;
    double bound = 0;
};

// An output line, `name value unit baseline`.
struct Line
{
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> baseline;
    std::optional<Target> target;
};

using Measure = std::function<std::vector<Line>(const Options &)>;

// Makes a measurement available as a verb of the program. Each measurement defines a static object.
class Registration
{
public:
    Registration(const std::string &verb, Measure measure);
};

} // namespace oleandercross::bench
