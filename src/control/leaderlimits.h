#pragma once

#include <absl/time/time.h>

namespace oleandercross::control {

// The longest interval between the leader's transactions, from which other entries conclude that
// the leader is running.
inline constexpr absl::Duration LeaderWritePeriod = absl::Milliseconds(350);
// Without a stored transaction for this long, the leader reports that it is not healthy, and
// another process may try to become the leader.
inline constexpr absl::Duration LeaderHealthTimeout = absl::Milliseconds(1200);
// Without a stored transaction for this long, the leader stops renewing the agents' permits.
inline constexpr absl::Duration MaxCommitAgeForPermits = absl::Seconds(4);
// The worker of an agent that has not responded for this long gets no new tasks.
inline constexpr absl::Duration AgentContactTimeout = absl::Milliseconds(1500);
// Added to the computed end of a lease for rounding and scheduling delays.
inline constexpr absl::Duration LeaseExpiryMargin = absl::Milliseconds(300);
// The pause after a failed read at a takeover.
inline constexpr absl::Duration LoadRetryPause = absl::Milliseconds(100);
// Stands in place of a job's id where rows of the learned state are stored.
inline constexpr char NoJob[] = "";

} // namespace oleandercross::control
