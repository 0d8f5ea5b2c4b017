#include <oleandercross/control/relayedstore.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::control {

namespace {

// While the store is unreachable, one call per period tries it directly.
constexpr absl::Duration ProbePeriod = absl::Milliseconds(400);
// The maximum number of peers that one call tries. Low, so that an outage of the store is detected
// soon.
constexpr std::size_t MaxRelays = 2;
// The limits of the store, which also apply to calls that peers relay.
constexpr std::int64_t MaxRowsPerPage = 500;
constexpr std::int64_t MaxFeedWaitMs = 30000;
// Added to the timeout of a call that is relayed by a peer.
constexpr absl::Duration RelayMargin = absl::Milliseconds(300);

Json::Value toJson(const StoredRow &row)
{
    Json::Value value(Json::arrayValue);
    value.append(row.table);
    value.append(row.key);
    value.append(row.value);
    value.append(static_cast<Json::Int64>(row.version));
    value.append(row.removed);
    return value;
}

std::optional<StoredRow> rowFromJson(const Json::Value &value)
{
    if (!value.isArray() || value.size() != 5 || !value[0U].isString() || !value[1U].isString()
        || !value[2U].isString() || !value[3U].isInt64() || !value[4U].isBool())
        return core::fail(core::ResultCode::BadField, "a relayed row has the wrong size or types");
    return StoredRow{value[0U].asString(), value[1U].asString(), value[2U].asString(),
                     value[3U].asInt64(), value[4U].asBool()};
}

Json::Value toJson(const std::vector<StoredRow> &rows)
{
    Json::Value value(Json::arrayValue);
    for (const StoredRow &row : rows)
        value.append(toJson(row));
    return value;
}

std::optional<std::vector<StoredRow>> rowsFromJson(const Json::Value &object, const char *key)
{
    const Json::Value &value = core::member(object, key);
    if (!value.isArray())
        return core::fail(core::ResultCode::BadField,
                          absl::StrCat("\"", key, "\" is not a list of rows"));
    std::vector<StoredRow> rows;
    for (const Json::Value &element : value) {
        auto row = rowFromJson(element);
        if (!row)
            return std::nullopt;
        rows.push_back(*std::move(row));
    }
    return rows;
}

// Returns the result of a relayed commit, or nothing if the answer cannot be read.
std::optional<CommitResult> commitResultFromJson(const Json::Value &value)
{
    const auto outcome =
        core::requiredInt(value, "outcome", {0, static_cast<int>(CommitOutcome::Unknown)});
    const auto version = core::requiredInt(value, "version");
    auto current = rowsFromJson(value, "current");
    if (!outcome || !version || !current)
        return std::nullopt;
    return CommitResult{static_cast<CommitOutcome>(*outcome), *version, *std::move(current), {}};
}

} // namespace

RelayedStore::RelayedStore(RowStore &direct, rpc::Client &client,
                           std::function<std::vector<http::Endpoint>()> peers)
    : m_direct(direct)
    , m_client(client)
    , m_peers(std::move(peers))
{ }

bool RelayedStore::directlyReachable() const
{
    absl::MutexLock lock(&m_mutex);
    return m_directlyReachable;
}

bool RelayedStore::shouldTryDirect()
{
    absl::MutexLock lock(&m_mutex);
    const core::Instant now = m_clock.now();
    if (m_directlyReachable)
        return true;
    if (now < m_nextProbe)
        return false;
    m_nextProbe = now + ProbePeriod;
    return true;
}

void RelayedStore::recordReachability(bool reached)
{
    const core::Reason reason = reached ? core::Reason{} : core::lastReason();
    absl::MutexLock lock(&m_mutex);
    if (reached == m_directlyReachable)
        return;
    m_directlyReachable = reached;
    m_nextProbe = m_clock.now() + ProbePeriod;
    telemetry::Event(reached ? "store_reached" : "store_lost").with("reason", reason.message);
}

std::vector<http::Endpoint> RelayedStore::takeRelayCandidates()
{
    if (m_relayingStopped)
        return {};
    std::vector<http::Endpoint> peers = m_peers();
    absl::MutexLock lock(&m_mutex);
    const auto preferred = std::find(peers.begin(), peers.end(), m_preferredRelay);
    if (preferred != peers.end()) {
        std::rotate(peers.begin(), preferred, preferred + 1);
    } else if (!peers.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(m_nextRelay++ % peers.size());
        std::rotate(peers.begin(), peers.begin() + first, peers.end());
    }
    if (peers.size() > MaxRelays)
        peers.resize(MaxRelays);
    m_preferredRelay = {};
    return peers;
}

void RelayedStore::preferRelay(const http::Endpoint &peer)
{
    absl::MutexLock lock(&m_mutex);
    m_preferredRelay = peer;
}

std::optional<Json::Value> RelayedStore::relay(const char *method, const Json::Value &params,
                                               absl::Duration timeout)
{
    for (const http::Endpoint &peer : takeRelayCandidates()) {
        if (auto answer =
                m_client.call(peer, method, params, timeout + RelayMargin, BulkTransferTime)) {
            preferRelay(peer);
            return answer;
        }
    }
    return core::fail(core::ResultCode::StoreUnavailable,
                      "the store is unreachable both directly and through peers");
}

CommitResult RelayedStore::commit(const RowChanges &changes, absl::Duration timeout)
{
    CommitResult result;
    result.outcome = CommitOutcome::Refused;
    result.reason = "the store was unreachable and the next direct probe is not due";
    if (shouldTryDirect()) {
        result = m_direct.commit(changes, timeout);
        const bool answered =
            result.outcome != CommitOutcome::Refused && result.outcome != CommitOutcome::Unknown;
        if (!answered)
            core::fail(core::ResultCode::StoreUnavailable, result.reason);
        recordReachability(answered);
        if (answered)
            return result;
    }
    Json::Value params(Json::objectValue);
    params["conditions"] = Json::Value(Json::arrayValue);
    for (const RowCondition &condition : changes.conditions)
        params["conditions"].append(
            toJson(StoredRow{condition.table, condition.key, {}, condition.version}));
    params["puts"] = toJson(changes.puts);
    params["removals"] = toJson(changes.removals);
    for (const http::Endpoint &peer : takeRelayCandidates()) {
        const auto answer = m_client.call(peer, "store-commit", params, timeout + RelayMargin);
        if (!answer) {
            // The outcome is unknown if the peer may have relayed the call.
            const core::ResultCode code = core::lastReason().code;
            if (code != core::ResultCode::StoreUnavailable
                && code != core::ResultCode::ConnectionFailed)
                result.outcome = CommitOutcome::Unknown;
            continue;
        }
        std::optional<CommitResult> relayed = commitResultFromJson(*answer);
        // A retry may conflict with the earlier attempt whose outcome is unknown; the caller then
        // recognizes its own rows.
        if (!relayed || relayed->outcome == CommitOutcome::Unknown) {
            result.outcome = CommitOutcome::Unknown;
            continue;
        }
        if (relayed->outcome == CommitOutcome::Refused)
            continue;
        preferRelay(peer);
        return *std::move(relayed);
    }
    return result;
}

std::optional<RowPage> RelayedStore::range(const std::string &table, const std::string &partition,
                                           const std::string &from, int limit,
                                           absl::Duration timeout)
{
    if (shouldTryDirect()) {
        auto page = m_direct.range(table, partition, from, limit, timeout);
        recordReachability(page.has_value());
        if (page)
            return page;
    }
    Json::Value params(Json::objectValue);
    params["table"] = table;
    params["partition"] = partition;
    params["from"] = from;
    params["limit"] = limit;
    const auto answer = relay("store-range", params, timeout);
    if (!answer)
        return std::nullopt;
    auto rows = rowsFromJson(*answer, "rows");
    const auto version = core::requiredInt(*answer, "version");
    if (!rows || !version)
        return std::nullopt;
    return RowPage{*std::move(rows), core::boolMember(*answer, "more"), *version};
}

std::optional<RowFeed> RelayedStore::changes(const std::string &table, std::int64_t after,
                                             absl::Duration wait)
{
    if (shouldTryDirect()) {
        auto feed = m_direct.changes(table, after, wait);
        recordReachability(feed.has_value());
        if (feed)
            return feed;
    }
    Json::Value params(Json::objectValue);
    params["table"] = table;
    params["after"] = static_cast<Json::Int64>(after);
    params["wait"] = static_cast<Json::Int64>(absl::ToInt64Milliseconds(wait));
    const auto answer = relay("store-changes", params, wait);
    if (!answer)
        return std::nullopt;
    auto rows = rowsFromJson(*answer, "rows");
    const auto version = core::requiredInt(*answer, "version");
    if (!rows || !version)
        return std::nullopt;
    return RowFeed{*std::move(rows), *version, core::boolMember(*answer, "historyLost")};
}

void RelayedStore::serve(rpc::Server &server)
{
    server.add("store-commit", [this](const Json::Value &params) { return serveCommit(params); });
    server.add("store-range", [this](const Json::Value &params) { return serveRange(params); });
    server.add("store-changes", [this](const Json::Value &params) { return serveChanges(params); });
}

std::optional<Json::Value> RelayedStore::serveCommit(const Json::Value &params)
{
    if (!directlyReachable())
        return core::fail(core::ResultCode::StoreUnavailable, "this peer cannot reach the store");
    const auto conditions = rowsFromJson(params, "conditions");
    auto puts = rowsFromJson(params, "puts");
    auto removals = rowsFromJson(params, "removals");
    if (!conditions || !puts || !removals)
        return std::nullopt;
    RowChanges changes;
    for (const StoredRow &row : *conditions)
        changes.conditions.push_back({row.table, row.key, row.version});
    changes.puts = *std::move(puts);
    changes.removals = *std::move(removals);
    const CommitResult result = m_direct.commit(changes, StoreTimeout);
    Json::Value answer(Json::objectValue);
    answer["outcome"] = static_cast<int>(result.outcome);
    answer["version"] = static_cast<Json::Int64>(result.version);
    answer["current"] = toJson(result.current);
    return answer;
}

std::optional<Json::Value> RelayedStore::serveRange(const Json::Value &params)
{
    if (!directlyReachable())
        return core::fail(core::ResultCode::StoreUnavailable, "this peer cannot reach the store");
    const auto table = core::requiredString(params, "table");
    const auto partition = core::requiredString(params, "partition");
    const auto from = core::requiredString(params, "from");
    const auto limit = core::requiredInt(params, "limit", {1, MaxRowsPerPage});
    if (!table || !partition || !from || !limit)
        return std::nullopt;
    const auto page =
        m_direct.range(*table, *partition, *from, static_cast<int>(*limit), StoreTimeout);
    if (!page)
        return std::nullopt;
    Json::Value answer(Json::objectValue);
    answer["rows"] = toJson(page->rows);
    answer["more"] = page->more;
    answer["version"] = static_cast<Json::Int64>(page->version);
    return answer;
}

std::optional<Json::Value> RelayedStore::serveChanges(const Json::Value &params)
{
    if (!directlyReachable())
        return core::fail(core::ResultCode::StoreUnavailable, "this peer cannot reach the store");
    const auto table = core::requiredString(params, "table");
    const auto after = core::requiredInt(params, "after");
    const auto waitMs = core::requiredInt(params, "wait", {0, MaxFeedWaitMs});
    if (!table || !after || !waitMs)
        return std::nullopt;
    const auto feed = m_direct.changes(*table, *after, absl::Milliseconds(*waitMs));
    if (!feed)
        return std::nullopt;
    Json::Value answer(Json::objectValue);
    answer["rows"] = toJson(feed->rows);
    answer["version"] = static_cast<Json::Int64>(feed->version);
    answer["historyLost"] = feed->historyLost;
    return answer;
}

} // namespace oleandercross::control
