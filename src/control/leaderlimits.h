#pragma once

#include <absl/time/time.h>

namespace oleandercross::control {

// The leader writes at least this often, so that others see that it is alive.
inline constexpr absl::Duration RenewalPeriod = absl::Milliseconds(350);
// Without a stored transaction for this long, another process may try to take the lead.
inline constexpr absl::Duration HealthyFor = absl::Milliseconds(1200);
// Without a stored transaction for this long, agents get no more permits to extend leases.
inline constexpr absl::Duration PermitFor = absl::Seconds(4);
// An agent that has not answered for this long gets no new work.
inline constexpr absl::Duration ContactFor = absl::Milliseconds(1500);
// Beyond the computed end of a lease, for rounding and scheduling delays.
inline constexpr absl::Duration LapseMargin = absl::Milliseconds(300);

} // namespace oleandercross::control
