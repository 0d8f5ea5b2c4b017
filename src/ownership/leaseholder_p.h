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
    void on(const EpochObserved &event);
    void on(const LeaseReleased &event);
    void on(const HandOver &);

    bool mayDecide(core::Instant at) const;
    bool outageConfirmed(core::Instant at) const;
    StoreView storeView(core::Instant at) const;
    // Returns true in the states leading, bridging (leading during a confirmed outage of the store)
    // and suspended.
    bool holdsLease() const;

    LeaseSettings settings;
    core::Instant now;
    std::vector<LeaseAction> actions;
    statechart::Machine machine{statechart::StateChart::embedded("lease")};
    Epoch heldEpoch = 0;
    Epoch knownEpoch = 0;
    core::EntryId knownHolder;
    std::int64_t heldEpochVersion = 0;

private:
    enum class WriteKind { Renew, Claim, Release };

    struct Witness
    {
        core::Instant askedAt = absl::InfinitePast();
        bool unavailable = false;
    };

    template <typename Action>
    void addAction(Action action)
    {
        actions.emplace_back(std::move(action));
    }
    bool isOwnLease(const LeaseValue &value) const;
    void recordResponse(core::Instant sentAt);
    void checkValidity();
    void startNextOperation();
    void readRows();
    void write(WriteKind kind);
    void updateObservation(const RowsRead &event, std::int64_t version);
    void claimIfAvailable(const RowsRead &event, const std::optional<LeaseValue> &lease);
    void onOwnLease(const RowsRead &event, const LeaseValue &lease);
    void onClaimed(const RowsWritten &event, core::Instant sentAt);
    void onRenewed(const RowsWritten &event, core::Instant sentAt);
    void onReleased(const RowsWritten &event);
    void acquireLease(Epoch epoch, std::int64_t leaseVersion, std::int64_t epochVersion);
    void extendValidity(core::Instant sentAt);
    void loseLease();
    // Ends the machine and clears the held epoch.
    void finishHandOver();

    core::Instant m_startedAt = absl::InfinitePast();
    bool m_started = false;
    // Expiry of the lease as of the last renewal.
    core::Instant m_validUntil = absl::InfinitePast();
    std::int64_t m_leaseVersion = 0;
    std::int64_t m_epochVersion = 0;
    Epoch m_claimEpoch = 0;

    bool m_operationPending = false;
    bool m_readNext = false;
    WriteKind m_writeKind = WriteKind::Renew;
    std::string m_writeId;
    std::int64_t m_writeCount = 0;
    core::Instant m_lastOperation = absl::InfinitePast();
    // Send times of recent writes by write id, needed when a read shows that one of them took
    // effect.
    absl::btree_map<std::string, core::Instant> m_writesSentAt;

    // Start of the uninterrupted observation of the current version of the lease row.
    core::Instant m_unchangedSince = absl::InfiniteFuture();
    core::Instant m_lastFastResponse = absl::InfinitePast();
    bool m_writeFailing = false;

    absl::btree_map<core::EntryId, Witness> m_witnesses;
    core::Instant m_lastWitnessQuery = absl::InfinitePast();
    bool m_handOverRequested = false;
};

} // namespace oleandercross::ownership
