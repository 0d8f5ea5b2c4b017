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

// The decision code under test: events in, actions out.
using Route = std::function<std::vector<dispatch::Action>(const dispatch::Event &, core::Instant)>;
using MakeRoute = std::function<Route(const core::EntryId &, std::uint64_t seed)>;

// A request of the load, with the time that its minion will take.
struct LoadRequest
{
    absl::Duration at;
    std::string account;
    absl::Duration serviceTime;
    absl::Duration deadline;
    std::size_t bodyBytes = 0;
    // For grouping results.
    bool isLong = false;
};

struct LoadResult
{
    LoadRequest request;
    dispatch::Outcome outcome;
    absl::Duration latency;

    bool inDeadline() const
    {
        return outcome.kind == dispatch::OutcomeKind::Answered && latency <= request.deadline;
    }
};

// Runs the decision code of entries and agents in virtual time: queues, slots and service times,
// and a fixed delay per message. Two entries, ten minions of eight slots, a third of them in
// another data centre for each entry.
class VirtualDispatch
{
public:
    // How grants reach entries: in messages of their own, or only with the next reply to the entry.
    enum class Grants { Pushed, WithReplies };

    VirtualDispatch(const MakeRoute &makeRoute, std::uint64_t seed, Grants grants = Grants::Pushed);

    // Results in order of arrival.
    std::vector<LoadResult> run(std::vector<LoadRequest> load);

    static constexpr int Entries = 2;
    static constexpr int Minions = 10;
    static constexpr int Slots = 8;
    // Busy slots at full load.
    static constexpr double Capacity = Minions * Slots;

    std::int64_t refusals() const { return m_refusals; }
    // SendSlotDemand and SlotsGranted.
    std::int64_t slotMessages() const { return m_slotMessages; }

private:
    struct Agent
    {
        dispatch::TargetId target;
        std::unique_ptr<dispatch::Admission> admission;
        std::unique_ptr<dispatch::RequestTable> table;
    };

    struct Timed
    {
        core::Instant at;
        std::int64_t sequence = 0;
        std::function<void()> run;

        bool operator<(const Timed &other) const
        {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    static absl::Duration distance(int entry, int agent);
    void later(absl::Duration delay, std::function<void()> run);
    void tell(int entry, const dispatch::Event &event);
    void arrive(int index);
    void execute(int entry, const dispatch::Action &action);
    void atAgent(int entry, int agent, const dispatch::DispatchMessage &message);
    void ended(int entry, int agent, const dispatch::DispatchMessage &message);
    void grantSlots(int agent, int replyTo);
    void deliverGrants(int agent, int entry);
    void tick();
    void heartbeat();

    const core::ServiceId m_service = core::ServiceId("service");
    const core::Instant m_start = absl::UnixEpoch() + absl::Hours(1);
    core::Instant m_now = m_start;
    std::int64_t m_sequence = 0;
    std::priority_queue<Timed> m_queue;
    std::vector<Route> m_entries;
    std::vector<Agent> m_agents;
    std::map<core::AgentId, int> m_agentIndex;
    std::map<core::RequestId, int> m_index;
    Grants m_grants;
    // By agent and entry, to be sent.
    std::map<std::pair<int, int>, std::vector<dispatch::SlotsGranted>> m_pendingGrants;
    std::vector<LoadResult> m_results;
    std::size_t m_open = 0;
    std::int64_t m_refusals = 0;
    std::int64_t m_slotMessages = 0;
};

} // namespace oleandercross::bench
