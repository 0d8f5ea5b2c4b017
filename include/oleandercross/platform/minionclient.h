#pragma once

#include <oleandercross/core/ids.h>

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace oleandercross::platform {

struct MinionRequest
{
    core::RequestId id;
    core::AccountId account;
    core::ServiceId service;
    std::string body;
    std::string traceparent;

    friend bool operator==(const MinionRequest &, const MinionRequest &) = default;
};

struct MinionAnswer
{
    core::RequestId id;
    // False when the minion ran the request and reports a failure in `body`.
    bool succeeded = false;
    std::string body;

    friend bool operator==(const MinionAnswer &, const MinionAnswer &) = default;
};

// Calls one minion. Implementations are thread safe; each call uses a connection of its own.
class MinionClient
{
public:
    virtual ~MinionClient() = default;

    // Runs a request and waits for the answer. Fails with ConnectionFailed if it certainly did not
    // run, ConnectionLost or Timeout if it may have, BadAnswer if the answer's id or length does
    // not match.
    virtual std::optional<MinionAnswer> execute(const MinionRequest &request,
                                                absl::Duration timeout) = 0;

    // Asks the minion to abandon a request; it may have finished already.
    virtual bool cancel(const core::RequestId &id) = 0;

    // True if the minion answers a health check within the timeout.
    virtual bool healthy(absl::Duration timeout) = 0;
};

} // namespace oleandercross::platform
