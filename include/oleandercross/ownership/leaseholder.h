#pragma once

#include <oleandercross/core/clock.h>
#include <oleandercross/core/ids.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/platform/tableservice.h>

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Scheduler lease of a data centre. docs/design/ownership.md derives the constants.
namespace oleandercross::ownership {

using Epoch = std::int64_t;

constexpr absl::Duration RenewPeriod = absl::Milliseconds(500);
// The holder stops making decisions this long after it sent its last successful renewal.
constexpr absl::Duration LeaseDuration = absl::Seconds(2);
// Other entries take over after they observed no renewal for this long by their own clocks.
constexpr absl::Duration TakeoverDelay = absl::Seconds(3);
// A response of the store that took longer than this does not count as proof of its availability.
constexpr absl::Duration FastResponseLimit = absl::Seconds(1);
// Longest gap between such responses in an uninterrupted observation of the lease row. After a
// longer gap, an entry reports the store as unavailable and restarts its observation.
constexpr absl::Duration MaxObservationGap = absl::Milliseconds(1500);
// Validity of another entry's report that the store is unavailable.
constexpr absl::Duration WitnessValidity = absl::Seconds(1);

struct LeaseSettings
{
    core::DataCentreId dataCentre;
    core::EntryId self;
    // Distinguishes this process from earlier processes with the same entry id.
    std::int64_t incarnation = 0;
    // Number of other entries in all data centres that can report on the store.
    int witnesses = 0;

    friend bool operator==(const LeaseSettings &, const LeaseSettings &) = default;
};

// Availability of the store as observed by one entry, sent to a lease holder on request.
struct StoreView
{
    // True if no fast response arrived within MaxObservationGap or the latest write failed.
    bool unavailable = false;

    friend bool operator==(const StoreView &, const StoreView &) = default;
};

struct LeaseTick
{ };

// Result of a ReadRows action: rows lease/<data centre id> and epoch/<data centre id>, read in
// this order. `sentAt` is the time directly before the first call. At most one ReadRows or
// WriteRows is outstanding.
struct RowsRead
{
    core::Instant sentAt;
    std::optional<platform::Row> lease;
    std::optional<platform::Row> epoch;
};

// A ReadRows action failed.
struct RowsUnreadable
{ };

// Result of a WriteRows action; `code` is Ok, VersionConflict, StoreUnavailable or OutcomeUnknown.
struct RowsWritten
{
    std::string writeId;
    core::ResultCode code = core::ResultCode::Ok;
    // Version of the written rows if the code is Ok.
    std::int64_t version = 0;
};

// Another entry's reply to QueryWitnesses. `askedAt` is the time directly before the call.
struct WitnessAnswered
{
    core::EntryId entry;
    core::Instant askedAt;
    StoreView view;
};

// An agent's refusal or a message from another entry carried this epoch.
struct EpochObserved
{
    Epoch epoch = 0;
};

// The holder announced that it released the lease.
struct LeaseReleased
{
    Epoch epoch = 0;
};

// Planned shutdown of this entry: releases the lease and never claims it again.
struct HandOver
{ };

using LeaseEvent = std::variant<LeaseTick, RowsRead, RowsUnreadable, RowsWritten, WitnessAnswered,
                                EpochObserved, LeaseReleased, HandOver>;

struct ReadRows
{
    friend bool operator==(const ReadRows &, const ReadRows &) = default;
};

struct WriteRows
{
    platform::Transaction transaction;

    friend bool operator==(const WriteRows &, const WriteRows &) = default;
};

// Requests the StoreView of all other entries.
struct QueryWitnesses
{
    friend bool operator==(const QueryWitnesses &, const QueryWitnesses &) = default;
};

// This entry became the leader. `epochCondition` fences the transactions of this epoch.
struct BecomeLeader
{
    Epoch epoch = 0;
    platform::Condition epochCondition;

    friend bool operator==(const BecomeLeader &, const BecomeLeader &) = default;
};

// This entry must stop making decisions, but no other entry is known to have taken over.
struct Suspend
{
    Epoch epoch = 0;

    friend bool operator==(const Suspend &, const Suspend &) = default;
};

// This entry may make decisions in the same epoch again.
struct Resume
{
    Epoch epoch = 0;

    friend bool operator==(const Resume &, const Resume &) = default;
};

// This entry lost or released the epoch and must discard all plans.
struct Resign
{
    Epoch epoch = 0;

    friend bool operator==(const Resign &, const Resign &) = default;
};

// Notifies the entries of the data centre that the lease was released. Best effort.
struct AnnounceRelease
{
    Epoch epoch = 0;

    friend bool operator==(const AnnounceRelease &, const AnnounceRelease &) = default;
};

using LeaseAction = std::variant<ReadRows, WriteRows, QueryWitnesses, BecomeLeader, Suspend, Resume,
                                 Resign, AnnounceRelease>;

// State machine of one entry for the scheduler lease of its data centre. Performs no I/O and is not
// thread-safe. Requires a LeaseTick about every 100 ms.
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseSettings settings);
    ~LeaseHolder();
    LeaseHolder(LeaseHolder &&) noexcept;
    LeaseHolder &operator=(LeaseHolder &&) noexcept;

    std::vector<LeaseAction> apply(const LeaseEvent &event, core::Instant now);

    // Returns true if this entry may make scheduling decisions now. To be checked again after every
    // operation that can block.
    bool mayDecide(core::Instant now) const;
    // Returns true if this entry leads during a confirmed outage of the store.
    bool leadsDuringStoreOutage() const;
    // Returns the epoch that this entry holds, 0 if none.
    Epoch heldEpoch() const;
    // Returns the highest known epoch and the last holder read; empty if unknown.
    Epoch knownEpoch() const;
    core::EntryId knownHolder() const;
    // Returns the condition that fences transactions of the held epoch; its key is empty if none is
    // held.
    platform::Condition epochCondition() const;
    StoreView storeView(core::Instant now) const;
    // Returns true after HandOver once the lease is released or if it was never held.
    bool handedOver() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::ownership
