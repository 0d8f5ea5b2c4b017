#include <oleandercross/planning/learnedstate.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/planning/planner.h>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>

namespace oleandercross::planning {

namespace {

constexpr char EstimatesKey[] = "estimates";
constexpr char AccountsKey[] = "accounts";
constexpr char SpeedsPrefix[] = "speeds-";
// The marks of a worker are in the row that the hash of its key selects, so that 510 workers fit.
constexpr std::uint64_t SpeedsRowCount = 4;
// The room in a row for its own members and punctuation.
constexpr std::size_t RowOverheadBytes = 256;
// Agents report their workers to a new leader within less than this time; what was learned about
// the other workers is dropped then.
constexpr absl::Duration MissingWorkerTimeout = absl::Seconds(15);
// The longest interval between the acceptance of a job and the next write of the learned state.
// Older jobs are included in a restored state.
constexpr absl::Duration MaxLearningDelay = absl::Seconds(3);

std::string speedsKey(std::uint64_t index)
{
    return absl::StrCat(SpeedsPrefix, index);
}

// Returns the text of a row with these members, which are given as JSON.
std::string rowText(const std::vector<std::pair<const char *, std::string>> &members)
{
    std::string text = absl::StrCat("{\"format\":", LearnedFormat);
    for (const auto &[name, value] : members)
        absl::StrAppend(&text, ",\"", name, "\":", value);
    return text + "}";
}

// Returns the row's object, or nothing if it is too large, unreadable or of another format. Fails
// with BadSize, BadJson or BadField.
std::optional<Json::Value> readRow(const std::string &text)
{
    if (text.size() > MaxLearnedRowBytes)
        return core::fail(core::ResultCode::BadSize,
                          absl::StrCat("the row has ", text.size(), " bytes"));
    std::optional<Json::Value> row = core::parseJson(text);
    if (row && !core::requiredInt(*row, "format", {LearnedFormat, LearnedFormat}))
        return std::nullopt;
    return row;
}

} // namespace

bool isLearnedKey(const std::string &key)
{
    if (key == EstimatesKey || key == AccountsKey)
        return true;
    for (std::uint64_t i = 0; i < SpeedsRowCount; ++i) {
        if (key == speedsKey(i))
            return true;
    }
    return false;
}

LearnedState Planner::learnedState(core::Instant now) const
{
    LearnedState state;
    state[EstimatesKey] =
        rowText({{"taskTimes",
                  m_estimates.encode(MaxLearnedRowBytes - RowOverheadBytes
                                     - UrgentDemandForecast::MaxUrgentDemandBytes)},
                 {"urgentDemand", m_urgentDemand.encode(now)}});
    state[AccountsKey] =
        rowText({{"had", m_accountShares.encode(now, MaxLearnedRowBytes - RowOverheadBytes)}});
    for (std::uint64_t i = 0; i < SpeedsRowCount; ++i) {
        const WorkerFilter inRow = [this, i](const std::string &worker) {
            return (m_workers.contains(worker) || m_restoredWorkers.contains(worker))
                && XXH64(worker.data(), worker.size(), 0) % SpeedsRowCount == i;
        };
        constexpr std::size_t MaxPartBytes = (MaxLearnedRowBytes - RowOverheadBytes) / 2;
        state[speedsKey(i)] = rowText({{"speeds", m_speeds.encode(inRow, MaxPartBytes)},
                                       {"health", m_health.encode(now, inRow, MaxPartBytes)}});
    }
    return state;
}

std::vector<UnreadableLearnedState> Planner::restoreLearnedState(const LearnedState &state,
                                                                 core::Instant now)
{
    std::vector<UnreadableLearnedState> unreadable;
    const auto noteFailure = [&unreadable](const std::string &key) {
        unreadable.push_back({key, core::lastReason().message});
    };
    for (const auto &entry : state) {
        const std::string &key = entry.first;
        if (!isLearnedKey(key))
            continue;
        const std::optional<Json::Value> row = readRow(entry.second);
        if (!row) {
            noteFailure(key);
            continue;
        }
        // An unreadable part does not keep the other parts from being restored.
        const auto restorePart = [&](const char *name, auto &learned) {
            const bool restored = learned.restore(core::writeJson(core::member(*row, name)), now);
            if (!restored)
                noteFailure(key);
            return restored;
        };
        if (key == EstimatesKey) {
            m_estimatesRestored = restorePart("taskTimes", m_estimates);
            restorePart("urgentDemand", m_urgentDemand);
        } else if (key == AccountsKey) {
            restorePart("had", m_accountShares);
        } else {
            restorePart("speeds", m_speeds);
            restorePart("health", m_health);
        }
    }
    m_restoredWorkers = m_health.workers();
    m_restoredWorkers.merge(m_speeds.workers());
    m_restoredWorkersUntil = now + MissingWorkerTimeout;
    return unreadable;
}

bool Planner::isIncludedInRestoredState(bool hasProgress, absl::Duration age) const
{
    return m_estimatesRestored && (hasProgress || age > MaxLearningDelay);
}

void Planner::dropMissingWorkers(core::Instant now)
{
    if (m_restoredWorkers.empty() || now < m_restoredWorkersUntil)
        return;
    for (const std::string &worker : m_restoredWorkers) {
        if (m_workers.contains(worker))
            continue;
        m_health.removeWorker(worker);
        m_speeds.removeWorker(worker);
    }
    m_restoredWorkers.clear();
}

} // namespace oleandercross::planning
