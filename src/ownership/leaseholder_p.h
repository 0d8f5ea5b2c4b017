#pragma once

#include "leaserows.h"

#include <oleandercross/ownership/leaseholder.h>
#include <oleandercross/statechart/statechart.h>

#include <absl/container/btree_map.h>

namespace oleandercross::ownership {

class LeaseHolder::Private
{
public:
    explicit Private(LeaseSettings settings)
        : settings(std::move(settings))
    { }

    void on(const LeaseTick &);
    void on(const RowsRead &event);
    void on(const RowsUnreadable &);
    void on(const RowsWritten &event);
    void on(const WitnessAnswered &event);
    void on(const EpochSeen &event);
    void on(const LeaseReleased &event);
    void on(const HandOver &);

    bool mayDecide(core::Instant at) const;
    bool outageConfirmed(core::Instant at) const;
    StoreView storeView(core::Instant at) const;
    // Leading, bridging or suspended.
    bool holding() const;

    LeaseSettings settings;
    core::Instant now;
    std::vector<LeaseAction> actions;
    statechart::Machine machine{statechart::StateChart::embedded("lease")};
    Epoch heldEpoch = 0;
    Epoch knownEpoch = 0;
    core::EntryId knownHolder;
    std::int64_t heldEpochVersion = 0;

private:
    enum class Kind { Renew, Claim, Release };

    struct Witness
    {
        core::Instant askedAt = absl::InfinitePast();
        bool unavailable = false;
    };

    template <typename Action>
    void act(Action action)
    {
        actions.emplace_back(std::move(action));
    }
    bool isMine(const LeaseValue &value) const;
    void noteAnswer(core::Instant sentAt);
    void judgeValidity();
    void nextOperation();
    void readRows();
    void write(Kind kind);
    void observe(const RowsRead &event, std::int64_t version);
    void considerClaim(const RowsRead &event, const std::optional<LeaseValue> &lease);
    void onMine(const RowsRead &event, const LeaseValue &lease);
    void onClaimed(const RowsWritten &event, core::Instant sentAt);
    void onRenewed(const RowsWritten &event, core::Instant sentAt);
    void onReleased(const RowsWritten &event);
    void win(Epoch epoch, std::int64_t leaseVersion, std::int64_t epochVersion);
    void extend(core::Instant sentAt);
    void lose();
    void retire();

    core::Instant m_startedAt = absl::InfinitePast();
    bool m_started = false;
    // End of the right to decide that the last renewal gave.
    core::Instant m_validUntil = absl::InfinitePast();
    std::int64_t m_leaseVersion = 0;
    std::int64_t m_epochVersion = 0;
    Epoch m_claimEpoch = 0;

    bool m_busy = false;
    bool m_readNext = false;
    Kind m_kind = Kind::Renew;
    std::string m_writeId;
    std::int64_t m_writes = 0;
    core::Instant m_lastOperation = absl::InfinitePast();
    // When recent writes were sent, because a read can show that one of them took effect.
    absl::btree_map<std::string, core::Instant> m_sent;

    // When the current version of the lease row was first seen in an uninterrupted observation.
    core::Instant m_unchangedSince = absl::InfiniteFuture();
    core::Instant m_lastFastAnswer = absl::InfinitePast();
    bool m_writeFailing = false;

    absl::btree_map<core::EntryId, Witness> m_witnesses;
    core::Instant m_lastAsked = absl::InfinitePast();
    bool m_handOver = false;
};

} // namespace oleandercross::ownership
