#include "leaseholder_p.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace oleandercross::ownership {

namespace {

// Without a renewal for this long, the holder starts to ask for testimony, so that it is there
// before HoldLimit.
constexpr absl::Duration AskAfter = absl::Seconds(1);
constexpr absl::Duration AskPeriod = absl::Milliseconds(300);
// An operation without any answer for this long is given up as unknown.
constexpr absl::Duration OperationLimit = absl::Seconds(10);
constexpr std::size_t RememberedWrites = 16;

} // namespace

bool LeaseHolder::Private::holding() const
{
    return machine.is("leading") || machine.is("bridging") || machine.is("suspended");
}

bool LeaseHolder::Private::isMine(const LeaseValue &value) const
{
    return value.holder == settings.self.str() && value.incarnation == settings.incarnation
        && !value.released;
}

bool LeaseHolder::Private::outageConfirmed(core::Instant at) const
{
    int confirming = 1;
    for (const auto &[entry, witness] : m_witnesses) {
        if (witness.askedAt + WitnessLifetime <= at)
            continue;
        if (!witness.unavailable)
            return false;
        ++confirming;
    }
    return 2 * confirming > settings.witnesses + 1;
}

bool LeaseHolder::Private::mayDecide(core::Instant at) const
{
    if (machine.is("leading") && at < m_validUntil)
        return true;
    return machine.is("bridging") && outageConfirmed(at);
}

StoreView LeaseHolder::Private::storeView(core::Instant at) const
{
    const bool silent = at - std::max(m_lastFastAnswer, m_startedAt) > ObservationGap;
    return {m_started && (silent || m_writeFailing)};
}

void LeaseHolder::Private::noteAnswer(core::Instant sentAt)
{
    if (now - sentAt <= FastAnswer)
        m_lastFastAnswer = now;
}

void LeaseHolder::Private::on(const LeaseTick &)
{
    if (!m_started) {
        m_started = true;
        m_startedAt = now;
    }
    if (m_busy && now - m_lastOperation >= OperationLimit) {
        m_busy = false;
        m_readNext = true;
    }
    judgeValidity();
    nextOperation();
}

void LeaseHolder::Private::judgeValidity()
{
    if (!holding())
        return;
    const bool valid = now < m_validUntil;
    if (now >= m_validUntil - HoldLimit + AskAfter && now - m_lastAsked >= AskPeriod) {
        m_lastAsked = now;
        act(AskWitnesses{});
    }
    if (valid)
        return;
    const bool suspended = machine.is("suspended");
    if (outageConfirmed(now)) {
        if (machine.fire("outage") && suspended)
            act(Resume{heldEpoch});
    } else if (machine.fire("suspend")) {
        act(Suspend{heldEpoch});
    }
}

void LeaseHolder::Private::nextOperation()
{
    if (m_busy || machine.isFinal())
        return;
    const bool due = now - m_lastOperation >= RenewPeriod;
    if (machine.is("releasing") && !m_readNext && due)
        return write(Kind::Release);
    if (!due && !m_readNext)
        return;
    if (holding() && !m_readNext)
        return write(Kind::Renew);
    readRows();
}

void LeaseHolder::Private::readRows()
{
    m_busy = true;
    m_readNext = false;
    m_lastOperation = now;
    act(ReadRows{});
}

void LeaseHolder::Private::write(Kind kind)
{
    m_busy = true;
    m_kind = kind;
    m_lastOperation = now;
    m_writeId = absl::StrCat("lease/", settings.dataCentre.str(), "/", settings.self.str(), "/",
                             settings.incarnation, "/", ++m_writes);
    while (m_sent.size() >= RememberedWrites) {
        const auto oldest =
            std::min_element(m_sent.begin(), m_sent.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
        m_sent.erase(oldest);
    }
    m_sent[m_writeId] = now;
    m_claimEpoch = knownEpoch + 1;
    LeaseValue value;
    value.holder = settings.self.str();
    value.incarnation = settings.incarnation;
    value.epoch = kind == Kind::Claim ? m_claimEpoch : heldEpoch;
    value.write = m_writeId;
    value.released = kind == Kind::Release;
    platform::Transaction transaction;
    transaction.writeId = m_writeId;
    transaction.conditions = {{leaseKey(settings.dataCentre), m_leaseVersion},
                              {epochKey(settings.dataCentre), m_epochVersion}};
    transaction.puts = {{leaseKey(settings.dataCentre), formatLease(value)}};
    if (kind == Kind::Claim)
        transaction.puts.push_back({epochKey(settings.dataCentre), formatEpoch(value.epoch)});
    act(WriteRows{std::move(transaction)});
}

void LeaseHolder::Private::on(const RowsUnreadable &)
{
    m_busy = false;
    m_readNext = m_readNext || holding() || machine.is("releasing");
    // The next attempt waits for its period.
    if (m_readNext && now - m_lastOperation < RenewPeriod)
        m_lastOperation = now;
}

void LeaseHolder::Private::on(const RowsRead &event)
{
    m_busy = false;
    const std::int64_t version = event.lease ? event.lease->version : 0;
    observe(event, version);
    noteAnswer(event.sentAt);
    std::optional<LeaseValue> lease;
    if (event.lease)
        lease = parseLease(event.lease->value);
    const std::optional<Epoch> epoch =
        event.epoch ? parseEpoch(event.epoch->value) : std::optional<Epoch>(0);
    // Without a readable epoch, a claim could lower it.
    if (!epoch)
        return;
    m_leaseVersion = version;
    m_epochVersion = event.epoch ? event.epoch->version : 0;
    knownEpoch = std::max({knownEpoch, *epoch, lease ? lease->epoch : 0});
    knownHolder = lease && !lease->released ? core::EntryId(lease->holder) : core::EntryId();
    if (lease && isMine(*lease) && lease->epoch >= knownEpoch)
        return onMine(event, *lease);
    if (holding() || machine.is("releasing"))
        return lose();
    if (machine.is("claiming"))
        machine.fire("refused");
    if (m_handOver)
        return retire();
    considerClaim(event, lease);
}

// Restarts the observation at a new version and after a gap, because a holder whose store was
// unavailable needs the chance to renew first.
void LeaseHolder::Private::observe(const RowsRead &event, std::int64_t version)
{
    const bool fast = now - event.sentAt <= FastAnswer;
    const bool gap = now - m_lastFastAnswer > ObservationGap;
    const bool changed = version != m_leaseVersion;
    if (changed)
        m_writeFailing = false;
    if (changed || !fast || gap || m_unchangedSince == absl::InfiniteFuture())
        m_unchangedSince = now;
}

void LeaseHolder::Private::considerClaim(const RowsRead &event,
                                         const std::optional<LeaseValue> &lease)
{
    const bool vacant = !event.lease || (lease && lease->released);
    const bool abandoned = event.sentAt - m_unchangedSince >= TakeoverDelay;
    if (!vacant && !abandoned)
        return;
    machine.fire("claim");
    write(Kind::Claim);
}

void LeaseHolder::Private::onMine(const RowsRead &event, const LeaseValue &lease)
{
    const auto sent = m_sent.find(lease.write);
    if (machine.is("watching") || machine.is("claiming"))
        win(lease.epoch, event.lease->version, event.epoch ? event.epoch->version : 0);
    if (sent != m_sent.end())
        extend(sent->second);
    judgeValidity();
    nextOperation();
}

void LeaseHolder::Private::on(const RowsWritten &event)
{
    if (!m_busy || event.writeId != m_writeId)
        return;
    m_busy = false;
    const core::Instant sentAt = m_sent[m_writeId];
    const bool answered =
        event.code == core::ResultCode::Ok || event.code == core::ResultCode::VersionConflict;
    m_writeFailing = !answered;
    if (answered)
        noteAnswer(sentAt);
    else
        m_unchangedSince = absl::InfiniteFuture();
    m_readNext =
        event.code != core::ResultCode::Ok && event.code != core::ResultCode::StoreUnavailable;
    switch (m_kind) {
    case Kind::Claim:
        return onClaimed(event, sentAt);
    case Kind::Renew:
        return onRenewed(event, sentAt);
    case Kind::Release:
        return onReleased(event);
    }
}

void LeaseHolder::Private::onClaimed(const RowsWritten &event, core::Instant sentAt)
{
    if (event.code == core::ResultCode::Ok) {
        win(m_claimEpoch, event.version, event.version);
        extend(sentAt);
        return judgeValidity();
    }
    if (event.code == core::ResultCode::OutcomeUnknown)
        return;
    machine.fire("refused");
    if (m_handOver)
        retire();
}

void LeaseHolder::Private::win(Epoch epoch, std::int64_t leaseVersion, std::int64_t epochVersion)
{
    machine.fire("won");
    heldEpoch = epoch;
    heldEpochVersion = epochVersion;
    m_leaseVersion = leaseVersion;
    m_epochVersion = epochVersion;
    m_validUntil = absl::InfinitePast();
    knownEpoch = std::max(knownEpoch, epoch);
    knownHolder = settings.self;
    if (m_handOver) {
        machine.fire("handOver");
        return;
    }
    act(Lead{epoch, {epochKey(settings.dataCentre), epochVersion}});
}

// The right to decide counts from the time before the write, because others count from a time
// after it.
void LeaseHolder::Private::extend(core::Instant sentAt)
{
    if (!holding())
        return;
    m_validUntil = std::max(m_validUntil, sentAt + HoldLimit);
    const bool suspended = machine.is("suspended");
    if (now < m_validUntil && machine.fire("renewed") && suspended)
        act(Resume{heldEpoch});
}

void LeaseHolder::Private::onRenewed(const RowsWritten &event, core::Instant sentAt)
{
    if (event.code != core::ResultCode::Ok)
        return;
    m_leaseVersion = event.version;
    extend(sentAt);
}

void LeaseHolder::Private::onReleased(const RowsWritten &event)
{
    if (event.code != core::ResultCode::Ok)
        return;
    act(AnnounceRelease{heldEpoch});
    retire();
}

void LeaseHolder::Private::on(const WitnessAnswered &event)
{
    Witness &witness = m_witnesses[event.entry];
    if (event.askedAt >= witness.askedAt)
        witness = {event.askedAt, event.view.unavailable};
    judgeValidity();
}

void LeaseHolder::Private::on(const EpochSeen &event)
{
    knownEpoch = std::max(knownEpoch, event.epoch);
    if ((holding() || machine.is("releasing")) && event.epoch > heldEpoch)
        lose();
}

void LeaseHolder::Private::lose()
{
    const bool announced = holding();
    if (!machine.fire("lost"))
        return;
    if (announced)
        act(Resign{heldEpoch});
    heldEpoch = 0;
    heldEpochVersion = 0;
    m_unchangedSince = absl::InfiniteFuture();
}

void LeaseHolder::Private::on(const LeaseReleased &event)
{
    if (event.epoch < knownEpoch || !machine.is("watching"))
        return;
    m_readNext = true;
    nextOperation();
}

void LeaseHolder::Private::on(const HandOver &)
{
    if (m_handOver)
        return;
    m_handOver = true;
    const bool announced = holding();
    if (machine.is("claiming") || !machine.fire("handOver"))
        return;
    if (!announced)
        return;
    act(Resign{heldEpoch});
    m_lastOperation = absl::InfinitePast();
    nextOperation();
}

void LeaseHolder::Private::retire()
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

bool LeaseHolder::storeOutage() const
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
