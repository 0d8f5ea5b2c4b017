#include <oleandercross/control/leaderlog.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <absl/time/clock.h>

namespace oleandercross::control {

namespace {

// The delay between attempts of the same commit, which doubles up to the maximum.
constexpr absl::Duration MinRetryDelay = absl::Milliseconds(30);
constexpr absl::Duration MaxRetryDelay = absl::Milliseconds(250);

// Returns the epoch that follows the one of the leader row.
std::int64_t epochAfter(const StoredRow &row)
{
    // Each epoch begins with a transaction that increases the version of the store, so no epoch
    // exceeds the version of a row that is written in it.
    const std::optional<Leadership> last = decodeLeadership(row.value);
    if (last && last->epoch <= row.version)
        return last->epoch + 1;
    telemetry::Event("leader_row_unreadable")
        .with("version", row.version)
        .with("reason", last ? "the epoch is from another writer" : core::lastReason().message);
    return row.version + 1;
}

} // namespace

std::string encodeLeadership(const Leadership &leadership)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = static_cast<Json::Int64>(leadership.epoch);
    value["holder"] = leadership.holder;
    value["address"] = toString(leadership.address);
    value["sequence"] = static_cast<Json::Int64>(leadership.sequence);
    value["strength"] = static_cast<Json::Int64>(leadership.milliCores);
    value["incarnation"] = leadership.incarnation;
    return core::writeJson(value);
}

std::optional<Leadership> decodeLeadership(const std::string &text)
{
    const std::optional<Json::Value> value = core::parseJson(text);
    if (!value)
        return std::nullopt;
    const auto address = http::parseEndpoint(core::stringMember(*value, "address"));
    if (!address)
        return std::nullopt;
    const auto epoch = core::requiredInt(*value, "epoch", {1, core::MaxExactInt});
    const auto holder = core::requiredString(*value, "holder");
    const auto sequence = core::requiredInt(*value, "sequence");
    const auto milliCores = core::optionalInt(*value, "strength", 0);
    const auto incarnation = core::requiredString(*value, "incarnation");
    if (!epoch || !holder || !sequence || !milliCores || !incarnation)
        return std::nullopt;
    return Leadership{*epoch, *holder, *address, *sequence, *milliCores, *incarnation};
}

LeaderLog::LeaderLog(RowStore &store, Leadership leadership)
    : m_store(store)
    , m_leadership(std::move(leadership))
{ }

std::int64_t LeaderLog::epoch() const
{
    absl::MutexLock lock(&m_mutex);
    return m_leadership.epoch;
}

core::Instant LeaderLog::lastCommit() const
{
    absl::MutexLock lock(&m_mutex);
    return m_lastCommit;
}

std::int64_t LeaderLog::version() const
{
    absl::MutexLock lock(&m_mutex);
    return m_version;
}

bool LeaderLog::acquire(const std::optional<StoredRow> &last,
                        const std::function<bool()> &shouldAbort)
{
    absl::MutexLock commitLock(&m_commitMutex);
    Leadership next = m_leadership;
    next.epoch = 1;
    next.sequence = 0;
    if (last)
        next.epoch = epochAfter(*last);
    RowChanges changes;
    changes.conditions.push_back({LeaderTable, LeaderKey, last ? last->version : 0});
    changes.puts.push_back({LeaderTable, LeaderKey, encodeLeadership(next)});
    const core::Instant begin = m_clock.now();
    // An attempt with an unknown outcome may still take effect, so it is retried until the outcome
    // is known.
    for (absl::Duration pause = MinRetryDelay; !m_stopping && !(shouldAbort && shouldAbort());
         pause = std::min(pause * 2, MaxRetryDelay)) {
        const Attempt result = attempt(changes, next, begin);
        if (result != Attempt::Retry)
            return result == Attempt::Done;
        absl::SleepFor(pause);
    }
    return false;
}

LeaderLog::Outcome LeaderLog::commit(const std::vector<StoredRow> &puts,
                                     const std::vector<StoredRow> &removals)
{
    absl::MutexLock commitLock(&m_commitMutex);
    Leadership next = m_leadership;
    ++next.sequence;
    RowChanges changes;
    changes.conditions.push_back({LeaderTable, LeaderKey, version()});
    changes.puts = puts;
    changes.puts.push_back({LeaderTable, LeaderKey, encodeLeadership(next)});
    changes.removals = removals;
    const core::Instant begin = m_clock.now();
    for (absl::Duration pause = MinRetryDelay; !m_stopping;
         pause = std::min(pause * 2, MaxRetryDelay)) {
        const Attempt result = attempt(changes, next, begin);
        if (result == Attempt::Rejected)
            return Outcome::Rejected;
        if (result != Attempt::Retry)
            return result == Attempt::Done ? Outcome::Committed : Outcome::Deposed;
        absl::SleepFor(pause);
    }
    return Outcome::Stopped;
}

LeaderLog::Attempt LeaderLog::attempt(const RowChanges &changes, const Leadership &next,
                                      core::Instant firstBegin)
{
    const core::Instant begin = m_clock.now();
    const CommitResult result = m_store.commit(changes, StoreTimeout);
    if (result.outcome == CommitOutcome::Conflict)
        return afterConflict(result, next, firstBegin);
    if (result.outcome != CommitOutcome::Applied) {
        const bool rejected = result.outcome == CommitOutcome::Rejected;
        telemetry::Event(rejected ? "leader_commit_rejected" : "leader_commit_retried")
            .with("epoch", next.epoch)
            .with("sequence", next.sequence)
            .with("outcome", toString(result.outcome))
            .with("reason", result.reason);
        return rejected ? Attempt::Rejected : Attempt::Retry;
    }
    absl::MutexLock lock(&m_mutex);
    m_leadership = next;
    m_version = result.version;
    m_lastCommit = begin;
    return Attempt::Done;
}

LeaderLog::Attempt LeaderLog::afterConflict(const CommitResult &result, const Leadership &next,
                                            core::Instant firstBegin)
{
    for (const StoredRow &row : result.current) {
        if (row.table != LeaderTable || row.key != LeaderKey)
            continue;
        const std::optional<Leadership> current = decodeLeadership(row.value);
        if (!current || *current != next)
            break;
        // An earlier attempt whose response was lost has taken effect.
        absl::MutexLock lock(&m_mutex);
        m_leadership = next;
        m_version = row.version;
        m_lastCommit = firstBegin;
        return Attempt::Done;
    }
    return Attempt::Deposed;
}

void LeaderLog::release()
{
    absl::MutexLock commitLock(&m_commitMutex);
    Leadership next = m_leadership;
    next.holder.clear();
    ++next.sequence;
    RowChanges changes;
    changes.conditions.push_back({LeaderTable, LeaderKey, version()});
    changes.puts.push_back({LeaderTable, LeaderKey, encodeLeadership(next)});
    const CommitResult result = m_store.commit(changes, StoreTimeout);
    telemetry::Event("leadership_released")
        .with("epoch", next.epoch)
        .with("stored", result.outcome == CommitOutcome::Applied)
        .with("reason", result.reason);
}

} // namespace oleandercross::control
