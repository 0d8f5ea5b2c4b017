#include "leaseholder_p.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::ownership {

namespace {

// Time since the last renewal after which the holder queries the other entries, so that their
// replies arrive before the lease expires.
constexpr absl::Duration WitnessQueryDelay = absl::Seconds(1);
constexpr absl::Duration WitnessQueryPeriod = absl::Milliseconds(300);
// An operation without a response for this long times out with an unknown outcome.
constexpr absl::Duration OperationTimeout = absl::Seconds(10);
constexpr std::size_t MaxRememberedWrites = 16;

} // namespace

bool LeaseHolder::Private::holdsLease() const
{
    return machine.is("leading") || machine.is("bridging") || machine.is("suspended");
}

bool LeaseHolder::Private::isOwnLease(const LeaseValue &value) const
{
    return value.holder == settings.self.str() && value.incarnation == settings.incarnation
        && !value.released;
}

bool LeaseHolder::Private::outageConfirmed(core::Instant at) const
{
    // Counts this entry itself.
    int confirmations = 1;
    for (const auto &[entry, witness] : m_witnesses) {
        if (witness.askedAt + WitnessValidity <= at)
            continue;
        if (!witness.unavailable)
            return false;
        ++confirmations;
    }
    return 2 * confirmations > settings.witnesses + 1;
}

bool LeaseHolder::Private::mayDecide(core::Instant at) const
{
    if (machine.is("leading") && at < m_validUntil)
        return true;
    return machine.is("bridging") && outageConfirmed(at);
}

StoreView LeaseHolder::Private::storeView(core::Instant at) const
{
    const bool noRecentResponse =
        at - std::max(m_lastFastResponse, m_startedAt) > MaxObservationGap;
    return {m_started && (noRecentResponse || m_writeFailing)};
}

void LeaseHolder::Private::recordResponse(core::Instant sentAt)
{
    if (now - sentAt <= FastResponseLimit)
        m_lastFastResponse = now;
}

void LeaseHolder::Private::on(const LeaseTick &)
{
    if (!m_started) {
        m_started = true;
        m_startedAt = now;
    }
    if (m_operationPending && now - m_lastOperation >= OperationTimeout) {
        m_operationPending = false;
        m_readNext = true;
    }
    checkValidity();
    startNextOperation();
}

void LeaseHolder::Private::checkValidity()
{
    if (!holdsLease())
        return;
    const bool valid = now < m_validUntil;
    if (now >= m_validUntil - LeaseDuration + WitnessQueryDelay
        && now - m_lastWitnessQuery >= WitnessQueryPeriod) {
        m_lastWitnessQuery = now;
        addAction(QueryWitnesses{});
    }
    if (valid)
        return;
    const bool suspended = machine.is("suspended");
    if (outageConfirmed(now)) {
        if (machine.fire("outage") && suspended)
            addAction(Resume{heldEpoch});
    } else if (machine.fire("suspend")) {
        addAction(Suspend{heldEpoch});
    }
}

void LeaseHolder::Private::startNextOperation()
{
    if (m_operationPending || machine.isFinal())
        return;
    const bool due = now - m_lastOperation >= RenewPeriod;
    if (machine.is("releasing") && !m_readNext && due)
        return write(WriteKind::Release);
    if (!due && !m_readNext)
        return;
    if (holdsLease() && !m_readNext)
        return write(WriteKind::Renew);
    readRows();
}

void LeaseHolder::Private::readRows()
{
    m_operationPending = true;
    m_readNext = false;
    m_lastOperation = now;
    addAction(ReadRows{});
}

void LeaseHolder::Private::write(WriteKind kind)
{
    m_operationPending = true;
    m_writeKind = kind;
    m_lastOperation = now;
    m_writeId = absl::StrCat("lease/", settings.dataCentre.str(), "/", settings.self.str(), "/",
                             settings.incarnation, "/", ++m_writeCount);
    while (m_writesSentAt.size() >= MaxRememberedWrites) {
        const auto oldest =
            std::min_element(m_writesSentAt.begin(), m_writesSentAt.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
        m_writesSentAt.erase(oldest);
    }
    m_writesSentAt[m_writeId] = now;
    m_claimEpoch = knownEpoch + 1;
    LeaseValue value;
    value.holder = settings.self.str();
    value.incarnation = settings.incarnation;
    value.epoch = kind == WriteKind::Claim ? m_claimEpoch : heldEpoch;
    value.writeId = m_writeId;
    value.released = kind == WriteKind::Release;
    platform::Transaction transaction;
    transaction.writeId = m_writeId;
    transaction.conditions = {{leaseKey(settings.dataCentre), m_leaseVersion},
                              {epochKey(settings.dataCentre), m_epochVersion}};
    transaction.puts = {{leaseKey(settings.dataCentre), formatLease(value)}};
    if (kind == WriteKind::Claim)
        transaction.puts.push_back({epochKey(settings.dataCentre), formatEpoch(value.epoch)});
    addAction(WriteRows{std::move(transaction)});
}

void LeaseHolder::Private::on(const RowsUnreadable &)
{
    m_operationPending = false;
    m_readNext = m_readNext || holdsLease() || machine.is("releasing");
    // Restarts RenewPeriod. startNextOperation() does not wait for it before a read.
    if (m_readNext && now - m_lastOperation < RenewPeriod)
        m_lastOperation = now;
}

void LeaseHolder::Private::on(const RowsRead &event)
{
    m_operationPending = false;
    const std::int64_t version = event.lease ? event.lease->version : 0;
    updateObservation(event, version);
    recordResponse(event.sentAt);
    std::optional<LeaseValue> lease;
    if (event.lease)
        lease = parseLease(event.lease->value);
    const std::optional<Epoch> epoch =
        event.epoch ? parseEpoch(event.epoch->value) : std::optional<Epoch>(0);
    // A claim without a readable epoch could lower it.
    if (!epoch)
        return;
    m_leaseVersion = version;
    m_epochVersion = event.epoch ? event.epoch->version : 0;
    knownEpoch = std::max({knownEpoch, *epoch, lease ? lease->epoch : 0});
    knownHolder = lease && !lease->released ? core::EntryId(lease->holder) : core::EntryId();
    if (lease && isOwnLease(*lease) && lease->epoch >= knownEpoch)
        return onOwnLease(event, *lease);
    if (holdsLease() || machine.is("releasing"))
        return loseLease();
    if (machine.is("claiming"))
        machine.fire("refused");
    if (m_handOverRequested)
        return finishHandOver();
    claimIfAvailable(event, lease);
}

// Restarts the observation if the version changed and after a gap, so that a holder that could not
// reach the store gets the chance to renew first.
void LeaseHolder::Private::updateObservation(const RowsRead &event, std::int64_t version)
{
    const bool fast = now - event.sentAt <= FastResponseLimit;
    const bool gap = now - m_lastFastResponse > MaxObservationGap;
    const bool changed = version != m_leaseVersion;
    if (changed)
        m_writeFailing = false;
    if (changed || !fast || gap || m_unchangedSince == absl::InfiniteFuture())
        m_unchangedSince = now;
}

void LeaseHolder::Private::claimIfAvailable(const RowsRead &event,
                                            const std::optional<LeaseValue> &lease)
{
    const bool available = !event.lease || (lease && lease->released);
    const bool expired = event.sentAt - m_unchangedSince >= TakeoverDelay;
    if (!available && !expired)
        return;
    machine.fire("claim");
    write(WriteKind::Claim);
}

void LeaseHolder::Private::onOwnLease(const RowsRead &event, const LeaseValue &lease)
{
    const auto sent = m_writesSentAt.find(lease.writeId);
    if (machine.is("watching") || machine.is("claiming"))
        acquireLease(lease.epoch, event.lease->version, event.epoch ? event.epoch->version : 0);
    if (sent != m_writesSentAt.end())
        extendValidity(sent->second);
    checkValidity();
    startNextOperation();
}

void LeaseHolder::Private::on(const RowsWritten &event)
{
    if (!m_operationPending || event.writeId != m_writeId)
        return;
    m_operationPending = false;
    const core::Instant sentAt = m_writesSentAt[m_writeId];
    const bool answered =
        event.code == core::ResultCode::Ok || event.code == core::ResultCode::VersionConflict;
    m_writeFailing = !answered;
    if (answered)
        recordResponse(sentAt);
    else
        m_unchangedSince = absl::InfiniteFuture();
    m_readNext =
        event.code != core::ResultCode::Ok && event.code != core::ResultCode::StoreUnavailable;
    switch (m_writeKind) {
    case WriteKind::Claim:
        return onClaimed(event, sentAt);
    case WriteKind::Renew:
        return onRenewed(event, sentAt);
    case WriteKind::Release:
        return onReleased(event);
    }
}

void LeaseHolder::Private::onClaimed(const RowsWritten &event, core::Instant sentAt)
{
    if (event.code == core::ResultCode::Ok) {
        acquireLease(m_claimEpoch, event.version, event.version);
        extendValidity(sentAt);
        return checkValidity();
    }
    if (event.code == core::ResultCode::OutcomeUnknown)
        return;
    machine.fire("refused");
    if (m_handOverRequested)
        finishHandOver();
}

void LeaseHolder::Private::acquireLease(Epoch epoch, std::int64_t leaseVersion,
                                        std::int64_t epochVersion)
{
    machine.fire("won");
    heldEpoch = epoch;
    heldEpochVersion = epochVersion;
    m_leaseVersion = leaseVersion;
    m_epochVersion = epochVersion;
    m_validUntil = absl::InfinitePast();
    knownEpoch = std::max(knownEpoch, epoch);
    knownHolder = settings.self;
    if (m_handOverRequested) {
        machine.fire("handOver");
        return;
    }
    addAction(BecomeLeader{epoch, {epochKey(settings.dataCentre), epochVersion}});
}

// The lease is valid from the time before the write, because other entries measure TakeoverDelay
// from a time after it.
void LeaseHolder::Private::extendValidity(core::Instant sentAt)
{
    if (!holdsLease())
        return;
    m_validUntil = std::max(m_validUntil, sentAt + LeaseDuration);
    const bool suspended = machine.is("suspended");
    if (now < m_validUntil && machine.fire("renewed") && suspended)
        addAction(Resume{heldEpoch});
}

void LeaseHolder::Private::onRenewed(const RowsWritten &event, core::Instant sentAt)
{
    if (event.code != core::ResultCode::Ok)
        return;
    m_leaseVersion = event.version;
    extendValidity(sentAt);
}

void LeaseHolder::Private::onReleased(const RowsWritten &event)
{
    if (event.code != core::ResultCode::Ok)
        return;
    addAction(AnnounceRelease{heldEpoch});
    finishHandOver();
}

void LeaseHolder::Private::on(const WitnessAnswered &event)
{
    Witness &witness = m_witnesses[event.entry];
    if (event.askedAt >= witness.askedAt)
        witness = {event.askedAt, event.view.unavailable};
    checkValidity();
}

void LeaseHolder::Private::on(const EpochObserved &event)
{
    knownEpoch = std::max(knownEpoch, event.epoch);
    if ((holdsLease() || machine.is("releasing")) && event.epoch > heldEpoch)
        loseLease();
}

void LeaseHolder::Private::loseLease()
{
    const bool heldLease = holdsLease();
    if (!machine.fire("lost"))
        return;
    if (heldLease)
        addAction(Resign{heldEpoch});
    heldEpoch = 0;
    heldEpochVersion = 0;
    m_unchangedSince = absl::InfiniteFuture();
}

void LeaseHolder::Private::on(const LeaseReleased &event)
{
    if (event.epoch < knownEpoch || !machine.is("watching"))
        return;
    m_readNext = true;
    startNextOperation();
}

void LeaseHolder::Private::on(const HandOver &)
{
    if (m_handOverRequested)
        return;
    m_handOverRequested = true;
    const bool heldLease = holdsLease();
    if (machine.is("claiming") || !machine.fire("handOver"))
        return;
    if (!heldLease)
        return;
    addAction(Resign{heldEpoch});
    m_lastOperation = absl::InfinitePast();
    startNextOperation();
}

void LeaseHolder::Private::finishHandOver()
{
    if (!machine.fire("released"))
        machine.fire("handOver");
    heldEpoch = 0;
    heldEpochVersion = 0;
}

LeaseHolder::LeaseHolder(LeaseSettings settings)
    : d(std::make_unique<Private>(std::move(settings)))
{ }

LeaseHolder::~LeaseHolder() = default;
LeaseHolder::LeaseHolder(LeaseHolder &&) noexcept = default;
LeaseHolder &LeaseHolder::operator=(LeaseHolder &&) noexcept = default;

std::vector<LeaseAction> LeaseHolder::apply(const LeaseEvent &event, core::Instant now)
{
    d->now = now;
    d->actions.clear();
    std::visit([this](const auto &concrete) { d->on(concrete); }, event);
    return std::move(d->actions);
}

bool LeaseHolder::mayDecide(core::Instant now) const
{
    return d->mayDecide(now);
}

bool LeaseHolder::leadsDuringStoreOutage() const
{
    return d->machine.is("bridging");
}

Epoch LeaseHolder::heldEpoch() const
{
    return d->heldEpoch;
}

Epoch LeaseHolder::knownEpoch() const
{
    return d->knownEpoch;
}

core::EntryId LeaseHolder::knownHolder() const
{
    return d->knownHolder;
}

platform::Condition LeaseHolder::epochCondition() const
{
    if (d->heldEpoch == 0)
        return {};
    return {epochKey(d->settings.dataCentre), d->heldEpochVersion};
}

StoreView LeaseHolder::storeView(core::Instant now) const
{
    return d->storeView(now);
}

bool LeaseHolder::handedOver() const
{
    return d->machine.isFinal();
}

} // namespace oleandercross::ownership
