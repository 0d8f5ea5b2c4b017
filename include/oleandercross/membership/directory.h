#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/ids.h>

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Failure detection for agents and entries. docs/design/membership.md derives the constants.
namespace oleandercross::membership {

// Start time of a process in wall-clock microseconds. A restarted process has a higher one.
using Incarnation = std::int64_t;

constexpr absl::Duration MinHeartbeatPeriod = absl::Milliseconds(500);
// Leaves one second for the reply before EntryContactLimit expires.
constexpr absl::Duration MaxHeartbeatPeriod = absl::Seconds(4);
// Number of periods without a message after which an agent or entry counts as failed.
constexpr int MaxMissedPeriods = 3;
// Period of exchanges between entries of one data centre.
constexpr absl::Duration ExchangePeriod = absl::Seconds(1);
constexpr absl::Duration MaxExchangePeriod = absl::Seconds(10);
// An agent that has received no reply from any entry for this long accepts no new work.
constexpr absl::Duration EntryContactLimit = absl::Seconds(5);
// Parts of an entry's network limit of 24 KB/s.
constexpr double HeartbeatBytesPerSecond = 16000;
constexpr double ExchangeBytesPerSecond = 6000;

enum class Liveness {
    Alive,
    // Possibly failed: the entry that monitors the agent suspects a local fault or is lost itself.
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
    // The agent's state as JSON text, opaque to this module.
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

// Message of the exchange between entries: changes to the agents that the sender monitors, since
// version `since`.
struct Summary
{
    EntryRecord sender;
    // The last version that the receiver acknowledged; 0 for a complete summary.
    std::int64_t since = 0;
    std::int64_t version = 0;
    std::vector<AgentRecord> changed;
    std::vector<core::AgentId> removed;

    friend bool operator==(const Summary &, const Summary &) = default;
};

enum class HeartbeatResult {
    Accepted,
    // Not newer than a heartbeat that was already processed.
    Duplicate,
    // From an earlier incarnation than the known one.
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
    // The entry that receives the agent's heartbeats.
    core::EntryId home;

    friend bool operator==(const AgentView &, const AgentView &) = default;
};

// Returns the home of an agent among the live entries of its data centre, chosen by rendezvous
// hashing with xxHash. Empty if `entries` is empty.
core::EntryId homeEntry(const core::AgentId &agent, const std::vector<core::EntryId> &entries);

// Returns the heartbeat period that keeps an entry's heartbeat traffic within
// HeartbeatBytesPerSecond. `meanBytes` is the mean size of a heartbeat and its reply.
absl::Duration heartbeatPeriod(int agents, double meanBytes);

// Returns the period of exchanges with entries of other data centres that keeps all exchanges of an
// entry within ExchangeBytesPerSecond. `meanBytes` is the mean size of an exchange and its reply.
absl::Duration remoteExchangePeriod(int localPeers, int remotePeers, double meanBytes);

// One entry's view of all agents and entries. Performs no I/O and is not thread-safe.
class Directory
{
public:
    explicit Directory(EntryRecord self);
    ~Directory();
    Directory(Directory &&) noexcept;
    Directory &operator=(Directory &&) noexcept;

    // Processes a heartbeat sent to this entry. `bytes` is the size of the message and its reply.
    HeartbeatResult heartbeat(const AgentRecord &record, int bytes, core::Instant now);
    // Removes an agent that announced its shutdown.
    void leave(const core::AgentId &agent, Incarnation incarnation, core::Instant now);

    // Processes a peer's summary. Returns false if the sender must send a complete summary because
    // the delta does not follow the last version received.
    bool receive(const Summary &summary, core::Instant now);
    // Returns the changes that `peer` has not acknowledged. Each call assigns a new sequence
    // number, so the result is to be sent only once.
    Summary summaryFor(const core::EntryId &peer);
    void acknowledged(const core::EntryId &peer, std::int64_t version);
    // Resets the acknowledgement of a peer that lost its state; its next summary is complete.
    void forgetAcknowledged(const core::EntryId &peer);

    // Checks for missed deadlines and returns all changes since the last call. To be called at
    // least every MinHeartbeatPeriod.
    std::vector<Change> tick(core::Instant now);

    // Returns the heartbeat period, which heartbeat replies pass to the agents.
    absl::Duration period() const;
    // Records the size of an exchange and its reply, the input of exchangePeriod().
    void recordExchangeSize(int bytes);
    // Returns the period of summaries sent to entries of a data centre.
    absl::Duration exchangePeriod(const core::DataCentreId &dataCentre) const;
    // Returns true while more than half of this entry's agents are silent at the same time, which
    // suggests a fault of this entry. The agents are not reported lost until the suspicion has
    // lasted as long as their deadline.
    bool suspectsLocalFault() const;

    std::optional<AgentView> agent(const core::AgentId &agent) const;
    // Returns the agents of all entries, sorted by id.
    std::vector<AgentView> agents() const;
    // Returns the live entries including this one, sorted by id, of one data centre or of all.
    std::vector<EntryRecord> entries(const core::DataCentreId &dataCentre) const;
    std::vector<EntryRecord> entries() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Decides whether an agent may accept new work: an entry must have replied within
// EntryContactLimit.
class EntryContact
{
public:
    // Records an entry's reply. `sentAt` is the time directly before the heartbeat was sent.
    void recordReply(core::Instant sentAt);
    bool mayTakeWork(core::Instant now) const;

private:
    core::Instant m_lastAnsweredAt = absl::InfinitePast();
};

} // namespace oleandercross::membership
