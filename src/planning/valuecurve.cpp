#include <oleandercross/planning/valuecurve.h>

#include <cmath>

namespace oleandercross::planning {

namespace {

// Returns the probability that the completion is before the limit, after a logistic distribution.
double probabilityBefore(core::Instant limit, core::Instant completion, absl::Duration uncertainty)
{
    // The scale of a logistic distribution with a standard deviation of 1 is sqrt(3) / pi.
    constexpr double Scale = 0.5513;
    return 1 / (1 + std::exp(absl::FDivDuration(completion - limit, uncertainty * Scale)));
}

} // namespace

double ValueCurve::at(core::Instant completion) const
{
    return value
        * ((1 - LateValueFraction) * probabilityBefore(deadline, completion, uncertainty)
           + LateValueFraction * probabilityBefore(zeroValueAt, completion, uncertainty));
}

} // namespace oleandercross::planning
