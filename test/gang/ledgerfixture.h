#pragma once

#include <oleandercross/gang/ledger.h>

#include <absl/strings/str_cat.h>

#include <string>
#include <vector>

namespace oleandercross::gang::test {

constexpr core::Resources WorkerSize{4, 16, 65536};
constexpr Incarnation Self = 7;
const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);

inline core::Instant after(double seconds)
{
    return Start + absl::Seconds(seconds);
}

inline std::vector<Peer> peers(int count)
{
    std::vector<Peer> all;
    for (int i = 0; i < count; ++i)
        all.push_back({core::AgentId(absl::StrCat("a", i)), absl::StrCat("host", i)});
    return all;
}

inline std::string taskId(const GangKey &key, Epoch epoch, int members)
{
    return formatTaskId({key, epoch, 0, members, 0, 1});
}

inline platform::TaskStart task(const GangKey &key, Epoch epoch, int members,
                                std::vector<int> accelerators)
{
    platform::TaskStart start;
    start.taskId = taskId(key, epoch, members);
    start.job = key.job;
    const int count = static_cast<int>(accelerators.size());
    start.resources = {count, count, 1024};
    start.accelerators = std::move(accelerators);
    return start;
}

inline platform::TaskStatus status(const platform::TaskStart &start, platform::TaskState state)
{
    platform::TaskStatus listed;
    listed.taskId = start.taskId;
    listed.job = start.job;
    listed.state = state;
    listed.declared = start.resources;
    listed.accelerators = start.accelerators;
    return listed;
}

// The ledger of agent a0, which is member 0 of all gangs, with shortcuts for the common messages.
struct Agent
{
    Ledger ledger{LedgerSettings{peers(1)[0], Self, WorkerSize}};

    LedgerResult apply(const LedgerEvent &event, double at)
    {
        return ledger.apply(event, after(at));
    }

    core::ResultCode reserve(const GangKey &key, double at, int members = 2,
                             std::vector<int> accelerators = {0, 1}, Epoch epoch = 1, int round = 1)
    {
        const Reserve message{
            epoch, key, round, {task(key, epoch, members, std::move(accelerators))}};
        return apply(message, at).answer.code;
    }

    core::ResultCode commit(const GangKey &key, double at, int members = 2, Epoch epoch = 1,
                            Incarnation incarnation = Self)
    {
        return apply(Commit{epoch, key, incarnation, peers(members)}, at).answer.code;
    }

    LedgerResult list(double sentAt, std::vector<platform::TaskStatus> tasks)
    {
        return apply(TasksListed{after(sentAt), std::move(tasks)}, sentAt + 0.01);
    }

    LedgerResult answered(const GangKey &key, int member, double sentAt, MemberState state,
                          double age = 0)
    {
        const core::AgentId peer = peers(member + 1).back().agent;
        return apply(PeerAnswered{key, peer, after(sentAt), {state, absl::Seconds(age)}},
                     sentAt + 0.01);
    }

    MemberState state(const GangKey &key, double at, Epoch epoch = 1)
    {
        return apply(Watch{key, epoch, core::AgentId("a1"), {}}, at).watch.state;
    }

    // Starts a gang of which all members are reported to run.
    void runGang(const GangKey &key, int members = 2)
    {
        list(0, {});
        reserve(key, 0.1, members);
        commit(key, 0.2, members);
        apply(StartAnswered{taskId(key, 1, members), CallOutcome::Done}, 0.3);
        list(0.4, {status(task(key, 1, members, {0, 1}), platform::TaskState::Running)});
        for (int member = 1; member < members; ++member)
            answered(key, member, 0.4, MemberState::Running);
    }
};

template <typename Action>
std::vector<Action> only(const LedgerResult &result)
{
    std::vector<Action> chosen;
    for (const LedgerAction &action : result.actions) {
        if (const auto *match = std::get_if<Action>(&action))
            chosen.push_back(*match);
    }
    return chosen;
}

} // namespace oleandercross::gang::test
