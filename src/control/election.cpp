#include "leaderlimits.h"

#include <oleandercross/control/entry.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <absl/time/clock.h>
#include <xxhash.h>

namespace oleandercross::control {

namespace {

constexpr absl::Duration ElectionPeriod = absl::Milliseconds(200);
constexpr absl::Duration HealthTimeout = absl::Milliseconds(400);
// Between two steps while no leader says that it is healthy.
constexpr absl::Duration VacancyPeriod = absl::Milliseconds(80);
// The process at the leader's address does not lead if it says so, or refuses connections, this
// many times in a row; one that takes the lead may say so once.
constexpr int AbsencesUntilGone = 2;
// A leader row that does not change for this long is free; the leader writes every 350 ms.
constexpr absl::Duration RowUnchangedFor = absl::Milliseconds(900);
// An entry with this much more processor time than the leader asks it to give way, once it has
// been up for the settling time; the weaker one then stays back for a while.
constexpr double StrengthRatio = 1.5;
constexpr absl::Duration SettlingTime = absl::Seconds(3);
constexpr absl::Duration GivenWayFor = absl::Seconds(2);
// Entries that find the lead free at the same time try at different moments.
constexpr std::int64_t MaxStaggerMs = 250;

} // namespace

void Entry::electionLoop()
{
    // Peers tell names apart by this delay, so that they seldom compete for the lead.
    const std::string &name = m_options.own.name;
    const auto stagger = absl::Milliseconds(
        static_cast<std::int64_t>(XXH64(name.data(), name.size(), 0) % MaxStaggerMs));
    absl::SleepFor(stagger);
    m_startedAt = m_clock.now();
    announceOwn();
    while (!m_stopping) {
        const bool led = electionStep();
        absl::MutexLock lock(&m_mutex);
        if (!m_handedOver)
            m_handover.waitFor(m_mutex, led ? ElectionPeriod : VacancyPeriod);
        m_handedOver = false;
    }
}

void Entry::announceOwn()
{
    RowChanges changes;
    changes.puts.push_back({MemberTable, m_options.own.name, encodeMember(m_options.own)});
    const CommitResult result = m_store.commit(changes, StoreTimeout);
    telemetry::Event("member_announced")
        .with("stored", result.outcome == CommitOutcome::Applied)
        .with("reason", result.reason);
    m_members.add(m_options.own);
}

bool Entry::electionStep()
{
    if (leader()) {
        superviseOwnLead();
        return true;
    }
    if (checkLeader()) {
        m_rowVersion = -1;
        return true;
    }
    maybeTakeLead();
    return false;
}

bool Entry::checkLeader()
{
    const std::optional<http::Endpoint> address = leaderAddress();
    if (address != m_checkedAddress) {
        m_checkedAddress = address;
        m_absences = 0;
    }
    if (!address)
        return false;
    const core::Instant begin = m_clock.now();
    const auto answer =
        m_client.call(*address, "leader-health", Json::Value(Json::objectValue), HealthTimeout);
    const bool absent = answer ? !core::boolMember(*answer, "leads")
                               : http::wasConnectionRefused(m_clock.now() - begin);
    m_absences = absent ? m_absences + 1 : 0;
    if (!answer || !core::boolMember(*answer, "healthy"))
        return false;
    Leadership leadership;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_leadership)
            leadership = *m_leadership;
    }
    askToGiveWay(leadership);
    return true;
}

void Entry::askToGiveWay(const Leadership &leadership)
{
    const bool stronger = static_cast<double>(m_options.strength)
        > StrengthRatio * static_cast<double>(leadership.strength);
    if (!stronger || leadership.holder.empty() || !m_store.reachable()
        || m_clock.now() - m_startedAt < SettlingTime)
        return;
    Json::Value params(Json::objectValue);
    params["strength"] = static_cast<Json::Int64>(m_options.strength);
    telemetry::Event("leadership_claimed")
        .with("from", leadership.holder)
        .with("strength", m_options.strength)
        .with("holder_strength", leadership.strength);
    m_client.call(leadership.address, "give-way", params, HealthTimeout);
}

void Entry::giveWay(const std::shared_ptr<Leader> &own)
{
    m_leadsNotBefore = m_clock.now() + GivenWayFor;
    own->release();
    absl::MutexLock lock(&m_mutex);
    m_leader.reset();
    m_leadership.reset();
}

void Entry::maybeTakeLead()
{
    if (m_clock.now() < m_leadsNotBefore)
        return;
    const auto row = m_store.row(LeaderTable, LeaderKey, StoreTimeout);
    if (!row)
        return;
    const core::Instant now = m_clock.now();
    if (!*row) {
        takeLead(*row);
        return;
    }
    const std::optional<Leadership> leadership = decodeLeadership((*row)->value);
    {
        absl::MutexLock lock(&m_mutex);
        m_leadership = leadership;
    }
    if (m_rowVersion != (*row)->version) {
        m_rowVersion = (*row)->version;
        m_rowUnchangedSince = now;
    }
    const bool gone =
        m_absences >= AbsencesUntilGone && leadership && leadership->address == m_checkedAddress;
    const bool free = !leadership || leadership->holder.empty()
        || leadership->holder == m_options.own.name || gone;
    if (free || now - m_rowUnchangedSince >= RowUnchangedFor)
        takeLead(*row);
}

void Entry::takeLead(const std::optional<StoredRow> &row)
{
    Leadership own;
    own.holder = m_options.own.name;
    own.address = m_options.own.address;
    own.strength = m_options.strength;
    own.incarnation = m_options.own.incarnation;
    auto log = std::make_unique<LeaderLog>(m_store, own);
    if (!log->acquire(row, [this] { return m_stopping.load(); })) {
        telemetry::Event("leadership_not_taken").with("row_version", row ? row->version : 0);
        return;
    }
    {
        absl::MutexLock lock(&m_mutex);
        m_leadership = log->own();
    }
    auto leader =
        std::make_shared<Leader>(m_store, std::move(log), m_client, m_metrics, m_options.leader);
    leader->setAgents(m_members.agents());
    m_membersGiven = m_members.version();
    if (const auto current = catalog())
        leader->setCatalog(current);
    absl::MutexLock lock(&m_mutex);
    m_leader = std::move(leader);
}

void Entry::superviseOwnLead()
{
    const std::shared_ptr<Leader> own = leader();
    if (m_givesWay.exchange(false)) {
        giveWay(own);
        return;
    }
    if (own->deposed()) {
        own->stop();
        {
            absl::MutexLock lock(&m_mutex);
            m_leader.reset();
            m_leadership.reset();
        }
        m_rowVersion = -1;
        return;
    }
    if (const std::int64_t version = m_members.version(); version != m_membersGiven) {
        m_membersGiven = version;
        own->setAgents(m_members.agents());
    }
}

} // namespace oleandercross::control
