#pragma once

#include <string>
#include <vector>

namespace oleandercross::statechart::detail {

struct EmbeddedChart
{
    std::string name;
    std::string yaml;
};

// Returns the files of charts/, which the build embeds in the program.
const std::vector<EmbeddedChart> &embeddedCharts();

} // namespace oleandercross::statechart::detail
