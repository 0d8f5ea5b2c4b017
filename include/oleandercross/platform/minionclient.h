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

struct MinionResponse
{
    core::RequestId id;
    // False if the minion executed the request and reports a failure in `body`.
    bool succeeded = false;
    std::string body;

    friend bool operator==(const MinionResponse &, const MinionResponse &) = default;
};

// Interface to one minion. Implementations are thread-safe; each call uses its own connection.
class MinionClient
{
public:
    virtual ~MinionClient() = default;

    // Executes a request and waits for the response. Fails with ConnectionFailed if the request was
    // certainly not executed, with ConnectionLost or Timeout if it may have been, and with
    // BadAnswer if the id or the length of the response does not match.
    virtual std::optional<MinionResponse> execute(const MinionRequest &request,
                                                  absl::Duration timeout) = 0;

    // Asks the minion to cancel a request, which may already have finished.
    virtual bool cancel(const core::RequestId &id) = 0;

    // Returns true if the minion passes a health check within the timeout.
    virtual bool healthy(absl::Duration timeout) = 0;
};

} // namespace oleandercross::platform
