#include <oleandercross/daemon/requestclaims.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/messages.h>

namespace oleandercross::daemon {

namespace {

constexpr char RowPrefix[] = "request/";
constexpr absl::Duration ReadTimeout = absl::Seconds(2);
constexpr absl::Duration ExpireTimeout = absl::Seconds(5);
// Callers may repeat a request with its key for this long.
constexpr std::int64_t RetentionMicros = 24LL * 3600 * 1000000;

std::string rowKey(const RequestKey &key)
{
    return RowPrefix + key.account.str() + "/" + key.key;
}

std::string encodeClaim(const Claim &claim)
{
    Json::Value value;
    value["request"] = claim.request.str();
    value["fate"] = encode(claim.fate);
    value["digest"] = claim.digest;
    value["claimedAtMicros"] = static_cast<Json::Int64>(claim.claimedAtMicros);
    return core::writeJson(value);
}

std::optional<Claim> decodeClaim(const platform::Row &row)
{
    const std::optional<Json::Value> value = core::parseJson(row.value);
    if (!value)
        return std::nullopt;
    Claim claim;
    claim.request = core::RequestId(core::stringMember(*value, "request"));
    claim.fate = decodeFateQuery(core::member(*value, "fate"));
    claim.digest = core::stringMember(*value, "digest");
    claim.claimedAtMicros = core::intMember(*value, "claimedAtMicros");
    claim.version = row.version;
    return claim;
}

} // namespace

RequestClaims::RequestClaims(platform::StoreWriter &store)
    : m_store(store)
{ }

std::optional<std::optional<Claim>> RequestClaims::read(const RequestKey &key)
{
    const auto row = m_store.read(rowKey(key), ReadTimeout);
    if (!row)
        return std::nullopt;
    if (!*row)
        return std::optional<Claim>();
    std::optional<Claim> claim = decodeClaim(**row);
    if (!claim)
        return std::nullopt;
    return claim;
}

std::optional<std::int64_t> RequestClaims::write(const RequestKey &key, const Claim &claim,
                                                 std::int64_t expectedVersion,
                                                 absl::Duration timeout)
{
    platform::Transaction transaction;
    transaction.conditions = {{rowKey(key), expectedVersion}};
    transaction.puts = {{rowKey(key), encodeClaim(claim)}};
    const platform::WriteResult result =
        m_store.write(std::move(transaction), platform::WritePriority::Claim, timeout);
    switch (result.outcome) {
    case platform::WriteOutcome::Applied:
        return result.version;
    case platform::WriteOutcome::Conflict:
        return core::fail(core::ResultCode::VersionConflict, "another attempt holds the claim");
    default:
        return core::fail(core::ResultCode::StoreUnavailable,
                          "the start of the request could not be recorded");
    }
}

int RequestClaims::expire(int limit)
{
    const auto rows = m_store.scan(RowPrefix, m_expiryCursor, limit, ExpireTimeout);
    if (!rows)
        return 0;
    m_expiryCursor = rows->empty() ? std::string() : rows->back().key;
    const std::int64_t oldest = core::wallClockMicros() - RetentionMicros;
    int deleted = 0;
    for (const platform::Row &row : *rows) {
        const std::optional<Claim> claim = decodeClaim(row);
        if (!claim || claim->claimedAtMicros >= oldest)
            continue;
        platform::Transaction transaction;
        transaction.conditions = {{row.key, row.version}};
        transaction.deletes = {row.key};
        const auto result =
            m_store.write(std::move(transaction), platform::WritePriority::Other, ExpireTimeout);
        deleted += result.outcome == platform::WriteOutcome::Applied ? 1 : 0;
    }
    return deleted;
}

} // namespace oleandercross::daemon
