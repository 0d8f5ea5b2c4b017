#pragma once

#include <absl/time/time.h>

namespace oleandercross::control {

// A worker on the same machine responds within a few milliseconds, also under load.
inline constexpr absl::Duration WorkerCallTimeout = absl::Milliseconds(700);
// The pause before a failed call to the worker is repeated.
inline constexpr absl::Duration WorkerRetryDelay = absl::Milliseconds(100);

} // namespace oleandercross::control
