#pragma once

#include "ledgergang.h"

#include <oleandercross/gang/ledger.h>

#include <set>

namespace oleandercross::gang {

class Ledger::Private
{
public:
    explicit Private(LedgerSettings settings)
        : settings(std::move(settings))
    { }

    // Messages from a leader (ledger.cpp).
    void on(const Reserve &message);
    void on(const Commit &message);
    void on(const Abort &message) { stopByLeader(message.epoch, message.key, "aborted"); }
    void on(const StopTask &message) { stopByLeader(message.epoch, message.key, "stopped"); }
    void on(const CheckpointTask &message);
    void on(const ThrottleTask &message);
    void on(const ReportRequest &message);
    void on(const EpochObserved &event);
    void on(const AdmissionCodeChanged &event) { admissionCode = event.code; }
    void on(const BeginDrain &event);

    // Results of worker calls (ledgertasks.cpp).
    void on(const TasksListed &event);
    void on(const StartAnswered &event);

    // Liveness of peers and deadlines (ledgerwatch.cpp).
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
    core::ResultCode admissionCode = core::ResultCode::Ok;
    absl::btree_map<GangKey, LedgerGang> gangs;
    // Running tasks that belong to no gang in the ledger. They use resources until they end.
    std::vector<platform::TaskStatus> orphans;
    core::Instant lastListingSentAt = absl::InfinitePast();
    core::Instant nextWatchAt = absl::InfinitePast();

private:
    void refuse(core::ResultCode code, const std::string &message);
    void emit(LedgerAction action) { result.actions.push_back(std::move(action)); }
    void notify(const LedgerGang &gang, TaskEvent::Kind kind, core::Reason reason = {});

    bool acceptEpoch(Epoch offered);
    bool acceptWork();
    LedgerGang *find(const GangKey &key);
    bool checkTasks(const Reserve &message, TaskIdentity &identity);
    bool checkMembers(const LedgerGang &gang, const std::vector<Peer> &members) const;
    bool conflictsWithOrphan(const LedgerGang &gang) const;
    void start(LedgerGang &gang);
    void stopByLeader(Epoch offered, const GangKey &key, const std::string &why);
    bool hasOrphan(const GangKey &key) const;
    void stop(LedgerGang &gang, const char *event, TaskEvent::Kind kind, core::Reason reason);
    void stopTasks(const LedgerGang &gang);
    void finish(LedgerGang &gang, const char *event);

    using Listing = absl::btree_map<std::string, platform::TaskStatus>;
    void adopt(const Listing &listing, core::Instant sentAt);
    void update(LedgerGang &gang, const Listing &listing, core::Instant sentAt);
    void evaluateTasks(LedgerGang &gang, core::Instant sentAt);
    void findOrphans(const Listing &listing);
    bool belongsToGang(const std::string &taskId) const;

    void checkDeadlines(LedgerGang &gang);
    void checkLiveness(LedgerGang &gang);
    void runWatchCycle(LedgerGang &gang);
    void pollPeers(LedgerGang &gang);
    void renewLeases(const LedgerGang &gang);
    void completeIfFinished(LedgerGang &gang);
    void purgeEnded();
};

} // namespace oleandercross::gang
