#include "leaderlimits.h"

#include <oleandercross/control/entry.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <absl/time/clock.h>
#include <xxhash.h>

namespace oleandercross::control {

namespace {

constexpr absl::Duration LeaderProbePeriod = absl::Milliseconds(200);
constexpr absl::Duration ProbeTimeout = absl::Milliseconds(400);
// The number of consecutive probes that must find no leader at the leader's address, by its
// response or by a refused connection. A process that is about to become the leader may still deny
// it once.
constexpr int NegativeProbeCountUntilLost = 2;
// A leader row that does not change for this long may be replaced; the leader writes it at least
// every 350 ms.
constexpr absl::Duration LeaderRowTimeout = absl::Milliseconds(900);
// An entry that has this many times the leader's processor share requests the leader to step down,
// once it has been running for MinUptimeBeforeClaim. The former leader does not try to become the
// leader again for StepDownDuration.
constexpr double ProcessorShareRatio = 1.5;
constexpr absl::Duration MinUptimeBeforeClaim = absl::Seconds(3);
constexpr absl::Duration StepDownDuration = absl::Seconds(2);
// Entries start their election steps at different times within this interval, so that they seldom
// compete for the leadership.
constexpr std::int64_t MaxStaggerMs = 250;

} // namespace

void Entry::electionLoop()
{
    // The delay is derived from the name, so that it differs between entries.
    const std::string &name = m_options.self.name;
    const auto stagger = absl::Milliseconds(
        static_cast<std::int64_t>(XXH64(name.data(), name.size(), 0) % MaxStaggerMs));
    absl::SleepFor(stagger);
    m_startedAt = m_clock.now();
    announceSelf();
    while (!m_electionStopping) {
        const absl::Duration period =
            electionStep() ? LeaderProbePeriod : Candidacy::readPeriod(rank());
        absl::MutexLock lock(&m_mutex);
        if (!m_handedOver)
            m_handoverReceived.waitFor(m_mutex, period);
        m_handedOver = false;
    }
}

void Entry::announceSelf()
{
    RowChanges changes;
    changes.puts.push_back({MemberTable, m_options.self.name, encodeMember(m_options.self)});
    const CommitResult result = m_store.commit(changes, StoreTimeout);
    telemetry::Event("member_announced")
        .with("stored", result.outcome == CommitOutcome::Applied)
        .with("reason", result.reason);
    m_members.add(m_options.self);
}

bool Entry::electionStep()
{
    if (leader()) {
        superviseOwnLeadership();
        return true;
    }
    if (probeLeader()) {
        m_leaderRowVersion = -1;
        return true;
    }
    tryBecomeLeader();
    return false;
}

bool Entry::probeLeader()
{
    const std::optional<http::Endpoint> address = leaderAddress();
    if (address != m_probedAddress) {
        m_probedAddress = address;
        m_negativeProbeCount = 0;
    }
    if (!address) {
        clearForecast();
        return false;
    }
    const core::Instant calledAt = m_clock.now();
    const auto answer =
        m_client.call(*address, "leader-health", Json::Value(Json::objectValue), ProbeTimeout);
    const bool negative =
        answer ? !core::boolMember(*answer, "leads") : http::wasConnectionRefused(*address);
    m_negativeProbeCount = negative ? m_negativeProbeCount + 1 : 0;
    if (negative || (answer && !core::boolMember(*answer, "healthy")))
        clearForecast();
    if (!answer || !core::boolMember(*answer, "healthy"))
        return false;
    applyLeaderHealth(*answer, calledAt);
    Leadership leadership;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_leadership)
            leadership = *m_leadership;
    }
    requestStepDown(leadership);
    return true;
}

void Entry::clearForecast()
{
    absl::MutexLock lock(&m_mutex);
    m_forecast = {};
}

void Entry::applyLeaderHealth(const Json::Value &answer, core::Instant calledAt)
{
    raiseKnownVersion(core::intMember(answer, "storeVersion"));
    const Json::Value &value = core::member(answer, "forecast");
    if (value.isNull())
        return clearForecast();
    auto forecast = planning::loadForecastFromJson(value);
    const auto ageMs = core::requiredInt(answer, "forecastAgeMs");
    if (!forecast || !ageMs) {
        telemetry::Event("forecast_unreadable").with("reason", core::lastReason().message);
        return clearForecast();
    }
    // The leader computed the age after it received the call, so the forecast is not older.
    absl::MutexLock lock(&m_mutex);
    m_forecast = {std::make_shared<const planning::LoadForecast>(*std::move(forecast)),
                  calledAt - absl::Milliseconds(*ageMs)};
}

void Entry::requestStepDown(const Leadership &leadership)
{
    const bool hasLargerShare = static_cast<double>(m_options.self.milliCores)
        > ProcessorShareRatio * static_cast<double>(leadership.milliCores);
    if (!hasLargerShare || leadership.holder.empty() || !m_store.directlyReachable()
        || m_clock.now() - m_startedAt < MinUptimeBeforeClaim)
        return;
    Json::Value params(Json::objectValue);
    params["strength"] = static_cast<Json::Int64>(m_options.self.milliCores);
    telemetry::Event("leadership_claimed")
        .with("from", leadership.holder)
        .with("strength", m_options.self.milliCores)
        .with("holder_strength", leadership.milliCores);
    m_client.call(leadership.address, "give-way", params, ProbeTimeout);
}

void Entry::stepDown(const std::shared_ptr<Leader> &ownLeader)
{
    m_noElectionBefore = m_clock.now() + StepDownDuration;
    ownLeader->release();
    absl::MutexLock lock(&m_mutex);
    m_leader.reset();
    m_leadership.reset();
}

void Entry::tryBecomeLeader()
{
    if (m_clock.now() < m_noElectionBefore)
        return;
    const auto row = m_store.row(LeaderTable, LeaderKey, StoreTimeout);
    if (!row)
        return;
    const core::Instant now = m_clock.now();
    if (!*row) {
        if (m_candidacy.shouldTake(true, 0, rank(), now))
            becomeLeader(*row);
        return;
    }
    const std::optional<Leadership> leadership = decodeLeadership((*row)->value);
    {
        absl::MutexLock lock(&m_mutex);
        m_leadership = leadership;
    }
    if (m_leaderRowVersion != (*row)->version) {
        m_leaderRowVersion = (*row)->version;
        m_leaderRowUnchangedSince = now;
    }
    const bool leaderLost = m_negativeProbeCount >= NegativeProbeCountUntilLost && leadership
        && leadership->address == m_probedAddress;
    const bool available = !leadership || leadership->holder.empty()
        || leadership->holder == m_options.self.name || leaderLost;
    const bool unchanged = now - m_leaderRowUnchangedSince >= LeaderRowTimeout;
    if (m_candidacy.shouldTake(available || unchanged, (*row)->version, rank(), now))
        becomeLeader(*row);
}

std::size_t Entry::rank() const
{
    std::string lostLeader;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_leadership)
            lostLeader = m_leadership->holder;
    }
    const Member &self = m_members.self();
    return candidateRank(m_members.candidates(), {self.name, self.milliCores}, lostLeader);
}

void Entry::becomeLeader(const std::optional<StoredRow> &row)
{
    Leadership leadership;
    leadership.holder = m_options.self.name;
    leadership.address = m_options.self.address;
    leadership.milliCores = m_options.self.milliCores;
    leadership.incarnation = m_options.self.incarnation;
    auto log = std::make_unique<LeaderLog>(m_store, leadership);
    if (!log->acquire(row, [this] { return m_electionStopping.load(); })) {
        telemetry::Event("leadership_not_taken").with("row_version", row ? row->version : 0);
        return;
    }
    {
        absl::MutexLock lock(&m_mutex);
        m_leadership = log->leadership();
    }
    auto leader = std::make_shared<Leader>(m_store, std::move(log), m_client, m_metrics,
                                           m_config.closures(), m_options.leader);
    leader->setAgents(m_members.agents());
    m_appliedMembersVersion = m_members.version();
    if (const auto current = catalog())
        leader->setCatalog(current);
    absl::MutexLock lock(&m_mutex);
    m_leader = std::move(leader);
}

void Entry::superviseOwnLeadership()
{
    const std::shared_ptr<Leader> ownLeader = leader();
    if (m_stepDownRequested.exchange(false)) {
        stepDown(ownLeader);
        return;
    }
    if (ownLeader->deposed()) {
        ownLeader->stop();
        {
            absl::MutexLock lock(&m_mutex);
            m_leader.reset();
            m_leadership.reset();
        }
        m_leaderRowVersion = -1;
        return;
    }
    if (const std::int64_t version = m_members.version(); version != m_appliedMembersVersion) {
        m_appliedMembersVersion = version;
        ownLeader->setAgents(m_members.agents());
    }
}

} // namespace oleandercross::control
