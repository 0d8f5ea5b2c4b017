#pragma once

#include <oleandercross/dispatch/dispatcher.h>
#include <oleandercross/dispatch/requesttable.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace oleandercross::bench {

// The dispatch logic of an entry: consumes an event and returns the actions to execute.
using DispatchLogic =
    std::function<std::vector<dispatch::Action>(const dispatch::Event &, core::Instant)>;
using DispatchLogicFactory =
    std::function<DispatchLogic(const core::EntryId &, std::uint64_t seed)>;

// A request of the simulated load with its service time on a minion.
struct LoadRequest
{
    absl::Duration arrival;
    std::string account;
    absl::Duration serviceTime;
    absl::Duration deadline;
    std::size_t bodyBytes = 0;
    // Whether the request counts as long work in the results.
    bool isLong = false;
};

struct LoadResult
{
    LoadRequest request;
    dispatch::Outcome outcome;
    absl::Duration latency;

    bool metDeadline() const
    {
        return outcome.kind == dispatch::OutcomeKind::Answered && latency <= request.deadline;
    }
};

// Simulates dispatch in virtual time with the dispatch logic of entries and the admission control
// of agents, fixed message delays and the service times of the load. There are two entries and ten
// minions with eight slots. For each entry, a third of the minions are in another data centre.
class DispatchSimulation
{
public:
    // Grants are sent to an entry in separate messages, or only with the next reply to it.
    enum class GrantDelivery { Pushed, WithReplies };

    DispatchSimulation(const DispatchLogicFactory &makeLogic, std::uint64_t seed,
                       GrantDelivery grants = GrantDelivery::Pushed);

    // Simulates the load and returns the results in the order of `load`. To be called once.
    std::vector<LoadResult> run(std::vector<LoadRequest> load);

    static constexpr int Entries = 2;
    static constexpr int Minions = 10;
    static constexpr int SlotsPerMinion = 8;
    static constexpr double TotalSlots = Minions * SlotsPerMinion;

    // Returns the number of dispatches that agents refused.
    std::int64_t refusals() const { return m_refusals; }
    // Returns the number of separate messages with slot demands and slot grants.
    std::int64_t slotMessages() const { return m_slotMessages; }

private:
    struct Agent
    {
        dispatch::TargetId target;
        std::unique_ptr<dispatch::Admission> admission;
        std::unique_ptr<dispatch::RequestTable> table;
    };

    struct TimedEvent
    {
        core::Instant at;
        std::int64_t sequence = 0;
        std::function<void()> run;

        bool operator<(const TimedEvent &other) const
        {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    // Returns the one-way message delay.
    static absl::Duration messageDelay(int entry, int agent);
    void schedule(absl::Duration delay, std::function<void()> run);
    // Applies an event to the dispatch logic of an entry and executes the resulting actions.
    void notifyEntry(int entry, const dispatch::Event &event);
    void handleArrival(int index);
    void execute(int entry, const dispatch::Action &action);
    void receiveAtAgent(int entry, int agent, const dispatch::DispatchMessage &message);
    void finishAtAgent(int entry, int agent, const dispatch::DispatchMessage &message);
    void grantSlots(int agent, int replyTo);
    void deliverGrants(int agent, int entry);
    void tickEntries();
    void sendHeartbeats();

    const core::ServiceId m_service = core::ServiceId("service");
    const core::Instant m_startTime = absl::UnixEpoch() + absl::Hours(1);
    core::Instant m_now = m_startTime;
    std::int64_t m_sequence = 0;
    std::priority_queue<TimedEvent> m_queue;
    std::vector<DispatchLogic> m_entries;
    std::vector<Agent> m_agents;
    std::map<core::AgentId, int> m_agentIndex;
    std::map<core::RequestId, int> m_requestIndex;
    GrantDelivery m_grantDelivery;
    // Grants not yet sent, by agent and entry.
    std::map<std::pair<int, int>, std::vector<dispatch::SlotsGranted>> m_pendingGrants;
    std::vector<LoadResult> m_results;
    std::size_t m_unfinishedCount = 0;
    std::int64_t m_refusals = 0;
    std::int64_t m_slotMessages = 0;
};

} // namespace oleandercross::bench
