#pragma once

#include <oleandercross/dispatch/message.h>
#include <oleandercross/platform/storewriter.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oleandercross::daemon {

// The caller's name for a non-idempotent request.
struct RequestKey
{
    core::AccountId account;
    std::string key;
    // Digest of service and body, to detect a key that is used for another request.
    std::string digest;

    friend bool operator==(const RequestKey &, const RequestKey &) = default;
};

// The row of a request key: which attempt may run it, and where.
struct Claim
{
    core::RequestId request;
    dispatch::FateQuery fate;
    std::string digest;
    std::int64_t claimedAtMicros = 0;
    // Version of the row in the table service.
    std::int64_t version = 0;

    friend bool operator==(const Claim &, const Claim &) = default;
};

// Rows `request/<account>/<key>` in the table service. A request with a key is only sent to a
// target after its row names that target, so that whoever reads the row knows whom to ask.
class RequestClaims
{
public:
    explicit RequestClaims(platform::StoreWriter &store);

    // The claim on a key, or an inner empty optional if there is none. Fails with StoreUnavailable.
    std::optional<std::optional<Claim>> read(const RequestKey &key);

    // Replaces the claim if the row still has the version (0: no row) and returns the new version.
    // Fails with VersionConflict if another attempt has the claim, StoreUnavailable otherwise; then
    // the caller must not send the request, and the row may or may not name it.
    std::optional<std::int64_t> write(const RequestKey &key, const Claim &claim,
                                      std::int64_t expectedVersion, absl::Duration timeout);

    // Deletes claims older than the retention, at most `limit` rows a call, continuing after the
    // last call. Returns the number deleted.
    int expire(int limit);

private:
    platform::StoreWriter &m_store;
    std::string m_expireAfter;
};

} // namespace oleandercross::daemon
