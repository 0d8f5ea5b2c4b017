#pragma once

#include <oleandercross/dispatch/message.h>
#include <oleandercross/platform/storewriter.h>

#include <cstdint>
#include <optional>
#include <string>

namespace oleandercross::daemon {

// Identifies a non-idempotent request by the caller's account and idempotency key.
struct RequestKey
{
    core::AccountId account;
    std::string key;
    // Digest of service and body, to detect reuse of a key for a different request.
    std::string digest;

    friend bool operator==(const RequestKey &, const RequestKey &) = default;
};

// The row of a request key: which attempt may run the request, and on which target.
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

// Claims on request keys, stored in rows `request/<account>/<key>` of the table service. A request
// with a key is only sent after its row names the target, so that every reader of the row can query
// the target for the outcome.
class RequestClaims
{
public:
    explicit RequestClaims(platform::StoreWriter &store);

    // Returns the claim on a key, or an empty inner optional if there is none. Fails with
    // StoreUnavailable.
    std::optional<std::optional<Claim>> read(const RequestKey &key);

    // Replaces the claim if the row still has the expected version (0: no row) and returns the new
    // version. Fails with VersionConflict if another attempt holds the claim, and with
    // StoreUnavailable otherwise. The caller must not send the request then; the row may or may not
    // contain the new claim.
    std::optional<std::int64_t> write(const RequestKey &key, const Claim &claim,
                                      std::int64_t expectedVersion, absl::Duration timeout);

    // Deletes claims older than the retention period. Each call scans at most `limit` rows and
    // continues where the previous call stopped. Returns the number of deleted claims.
    int expire(int limit);

private:
    platform::StoreWriter &m_store;
    std::string m_expiryCursor;
};

} // namespace oleandercross::daemon
