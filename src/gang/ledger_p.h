#pragma once

#include "heldgang.h"

#include <oleandercross/gang/ledger.h>

#include <set>

namespace oleandercross::gang {

class Ledger::Private
{
public:
    explicit Private(LedgerSettings settings)
        : settings(std::move(settings))
    { }

    // Messages of a leader (ledger.cpp).
    void on(const Reserve &message);
    void on(const Commit &message);
    void on(const Abort &message) { stopByLeader(message.epoch, message.key, "aborted"); }
    void on(const StopTask &message) { stopByLeader(message.epoch, message.key, "stopped"); }
    void on(const CheckpointTask &message);
    void on(const ThrottleTask &message);
    void on(const ReportRequest &message);
    void on(const EpochLearned &event);
    void on(const WorkGate &event) { gate = event.code; }
    void on(const BeginDrain &event);

    // The worker's answers (ledgertasks.cpp).
    void on(const TasksListed &event);
    void on(const StartAnswered &event);

    // Peers and deadlines (ledgerwatch.cpp).
    void on(const Watch &message);
    void on(const PeerAnswered &event);
    void on(const LedgerTick &event);

    core::Resources free() const;
    std::vector<int> freeAccelerators() const;
    LedgerReport report() const;
    bool drained() const;

    LedgerSettings settings;
    core::Instant now;
    LedgerResult result;

    Epoch epoch = 0;
    bool ready = false;
    bool draining = false;
    core::ResultCode gate = core::ResultCode::Ok;
    absl::btree_map<GangKey, HeldGang> gangs;
    // Running tasks that belong to no gang in the ledger. They take resources until they end.
    std::vector<platform::TaskStatus> strays;
    core::Instant lastListSent = absl::InfinitePast();
    core::Instant nextWatch = absl::InfinitePast();

private:
    void refuse(core::ResultCode code, const std::string &message);
    void act(LedgerAction action) { result.actions.push_back(std::move(action)); }
    void notify(const HeldGang &gang, TaskEvent::Kind kind, core::Reason reason = {});

    bool acceptEpoch(Epoch offered);
    bool acceptWork();
    HeldGang *find(const GangKey &key);
    bool checkTasks(const Reserve &message, TaskIdentity &identity);
    bool checkMembers(const HeldGang &gang, const std::vector<Peer> &members) const;
    bool disturbed(const HeldGang &gang) const;
    void start(HeldGang &gang);
    void stopByLeader(Epoch offered, const GangKey &key, const std::string &why);
    bool hasStray(const GangKey &key) const;
    void stop(HeldGang &gang, const char *event, TaskEvent::Kind kind, core::Reason reason);
    void stopTasks(const HeldGang &gang);
    void finish(HeldGang &gang, const char *event);

    using Listing = absl::btree_map<std::string, platform::TaskStatus>;
    void adopt(const Listing &listing, core::Instant sentAt);
    void update(HeldGang &gang, const Listing &listing, core::Instant sentAt);
    void judgeTasks(HeldGang &gang, core::Instant sentAt);
    void findStrays(const Listing &listing);
    bool isHeld(const std::string &taskId) const;

    void judge(HeldGang &gang);
    void judgeSilence(HeldGang &gang);
    void watch(HeldGang &gang);
    void poll(HeldGang &gang);
    void renew(const HeldGang &gang);
    void completeIfFinished(HeldGang &gang);
    void purge();
};

} // namespace oleandercross::gang
