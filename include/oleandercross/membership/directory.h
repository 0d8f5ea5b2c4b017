#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/ids.h>

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Liveness of agents and entries; docs/design/membership.md derives the figures.
namespace oleandercross::membership {

// Start time of a process in wall-clock microseconds; a restart gets a higher one.
using Incarnation = std::int64_t;

constexpr absl::Duration MinHeartbeatPeriod = absl::Milliseconds(500);
// Leaves an agent a second to be answered before EntryContactLimit.
constexpr absl::Duration MaxHeartbeatPeriod = absl::Seconds(4);
// Periods without a heartbeat after which an agent counts as silent.
constexpr int MissedPeriods = 3;
// Period of exchanges between entries of one data centre.
constexpr absl::Duration ExchangePeriod = absl::Seconds(1);
constexpr absl::Duration MaxExchangePeriod = absl::Seconds(10);
// An agent that heard from no entry for this long takes no new work.
constexpr absl::Duration EntryContactLimit = absl::Seconds(5);
// Shares of the network limit of 24 KB/s of an entry, in bytes a second.
constexpr double HeartbeatBytesPerSecond = 16000;
constexpr double ExchangeBytesPerSecond = 6000;

enum class Liveness {
    Alive,
    // Missed its deadline, but the entry suspects a fault of its own.
    Suspected,
    Dead,
};

struct AgentRecord
{
    core::AgentId agent;
    core::DataCentreId dataCentre;
    std::string address;
    Incarnation incarnation = 0;
    std::int64_t sequence = 0;
    // State of the agent as JSON text, opaque to this module.
    std::string state;

    friend bool operator==(const AgentRecord &, const AgentRecord &) = default;
};

struct EntryRecord
{
    core::EntryId entry;
    core::DataCentreId dataCentre;
    std::string address;
    Incarnation incarnation = 0;
    std::int64_t sequence = 0;

    friend bool operator==(const EntryRecord &, const EntryRecord &) = default;
};

// Part of an exchange: what changed among the sender's own agents since `since`.
struct Summary
{
    EntryRecord sender;
    // The receiver's last known summary version of the sender; 0 for a complete summary.
    std::int64_t since = 0;
    std::int64_t version = 0;
    std::vector<AgentRecord> changed;
    std::vector<core::AgentId> removed;

    friend bool operator==(const Summary &, const Summary &) = default;
};

enum class HeartbeatVerdict {
    Accepted,
    // Older than or equal to one already processed.
    Duplicate,
    // From an earlier incarnation.
    Stale,
};

struct Change
{
    enum class Kind { AgentJoined, AgentRestarted, AgentLost, EntryJoined, EntryLost };

    Kind kind = Kind::AgentJoined;
    std::string id;

    friend bool operator==(const Change &, const Change &) = default;
};

struct AgentView
{
    AgentRecord record;
    Liveness liveness = Liveness::Alive;
    // The entry that the agent's heartbeats go to.
    core::EntryId home;

    friend bool operator==(const AgentView &, const AgentView &) = default;
};

// The agent's home among the live entries of its data centre by rendezvous hashing with xxhash;
// empty if there are none.
core::EntryId homeEntry(const core::AgentId &agent, const std::vector<core::EntryId> &entries);

// The heartbeat period that keeps an entry's heartbeat traffic within HeartbeatBytesPerSecond.
// `meanBytes` is the measured mean size of a heartbeat and its reply.
absl::Duration heartbeatPeriod(int agents, double meanBytes);

// The period of exchanges with entries of other data centres that keeps all exchanges of an entry
// within ExchangeBytesPerSecond. `meanBytes` is the mean size of an exchange and its reply.
absl::Duration remoteExchangePeriod(int localPeers, int remotePeers, double meanBytes);

// What one entry knows about agents and entries. Pure and not thread safe.
class Directory
{
public:
    explicit Directory(EntryRecord self);
    ~Directory();
    Directory(Directory &&) noexcept;
    Directory &operator=(Directory &&) noexcept;

    // A heartbeat of one of this entry's own agents. `bytes` counts the message and its reply.
    HeartbeatVerdict heartbeat(const AgentRecord &record, int bytes, core::Instant now);
    // An agent announced its planned stop.
    void leave(const core::AgentId &agent, Incarnation incarnation, core::Instant now);

    // A peer's exchange. False if the sender must send a complete summary, because a delta does not
    // follow the version known here.
    bool receive(const Summary &summary, core::Instant now);
    // What `peer` has not acknowledged yet. Numbers the messages, so each is sent once.
    Summary summaryFor(const core::EntryId &peer);
    void acknowledged(const core::EntryId &peer, std::int64_t version);
    // The peer lost its copy; the next summary for it is complete.
    void forgetAcknowledged(const core::EntryId &peer);

    // Judges deadlines. To be called at least every MinHeartbeatPeriod; returns what changed since
    // the last call.
    std::vector<Change> tick(core::Instant now);

    // The period that heartbeat replies tell the agents.
    absl::Duration period() const;
    // The size of an exchange and its reply, for exchangePeriod().
    void exchanged(int bytes);
    // How often to send summaries to entries of a data centre.
    absl::Duration exchangePeriod(const core::DataCentreId &dataCentre) const;
    // True while more than half of this entry's agents are silent at once. They are not declared
    // dead until the suspicion has lasted as long as their deadline.
    bool suspectsItself() const;

    std::optional<AgentView> agent(const core::AgentId &agent) const;
    // Agents of all entries, sorted by id.
    std::vector<AgentView> agents() const;
    // Live entries including this one, sorted by id; of one data centre or of all.
    std::vector<EntryRecord> entries(const core::DataCentreId &dataCentre) const;
    std::vector<EntryRecord> entries() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

// An agent's rule for taking new work: some entry answered within EntryContactLimit.
class EntryContact
{
public:
    // `sentAt` is the time directly before the heartbeat that was answered.
    void heard(core::Instant sentAt);
    bool mayTakeWork(core::Instant now) const;

private:
    core::Instant m_lastHeard = absl::InfinitePast();
};

} // namespace oleandercross::membership
