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

// Scheduler lease of a data centre; docs/design/ownership.md derives the figures.
namespace oleandercross::ownership {

using Epoch = std::int64_t;

constexpr absl::Duration RenewPeriod = absl::Milliseconds(500);
// The holder stops deciding this long after it sent its last successful renewal.
constexpr absl::Duration HoldLimit = absl::Seconds(2);
// Others take over after they saw no renewal for this long, by their own clocks.
constexpr absl::Duration TakeoverDelay = absl::Seconds(3);
// An answer of the store that took longer does not count as a sign that it is available.
constexpr absl::Duration FastAnswer = absl::Seconds(1);
// Longest gap between such answers in an uninterrupted observation of the lease row. An entry with
// a longer gap says that the store is unavailable, and starts its observation again.
constexpr absl::Duration ObservationGap = absl::Milliseconds(1500);
// Validity of another entry's statement that the store is unavailable.
constexpr absl::Duration WitnessLifetime = absl::Seconds(1);

struct LeaseSettings
{
    core::DataCentreId dataCentre;
    core::EntryId self;
    // Distinguishes this process from its predecessor under the same entry id.
    std::int64_t incarnation = 0;
    // Number of other entries in all data centres that can testify about the store.
    int witnesses = 0;

    friend bool operator==(const LeaseSettings &, const LeaseSettings &) = default;
};

// An entry's own experience with the store, sent to a holder that asks for it.
struct StoreView
{
    // No fast answer within ObservationGap, or the latest write failed.
    bool unavailable = false;

    friend bool operator==(const StoreView &, const StoreView &) = default;
};

struct LeaseTick
{ };

// Rows lease/<dc> and epoch/<dc>, read in this order. `sentAt` is the time directly before the
// first call. At most one ReadRows or WriteRows is outstanding.
struct RowsRead
{
    core::Instant sentAt;
    std::optional<platform::Row> lease;
    std::optional<platform::Row> epoch;
};

struct RowsUnreadable
{ };

// Result of a WriteRows action; `code` is Ok, VersionConflict, StoreUnavailable or OutcomeUnknown.
struct RowsWritten
{
    std::string writeId;
    core::ResultCode code = core::ResultCode::Ok;
    // The version of the rows put if the code is Ok.
    std::int64_t version = 0;
};

// Another entry's answer to AskWitnesses. `askedAt` is the time directly before the call.
struct WitnessAnswered
{
    core::EntryId entry;
    core::Instant askedAt;
    StoreView view;
};

// An agent's refusal or another entry's message named this epoch.
struct EpochSeen
{
    Epoch epoch = 0;
};

// The holder announced its hand-over.
struct LeaseReleased
{
    Epoch epoch = 0;
};

// Planned stop of this entry: gives the lease up and never contends again.
struct HandOver
{ };

using LeaseEvent = std::variant<LeaseTick, RowsRead, RowsUnreadable, RowsWritten, WitnessAnswered,
                                EpochSeen, LeaseReleased, HandOver>;

struct ReadRows
{
    friend bool operator==(const ReadRows &, const ReadRows &) = default;
};

struct WriteRows
{
    platform::Transaction transaction;

    friend bool operator==(const WriteRows &, const WriteRows &) = default;
};

// Asks all other entries for their StoreView.
struct AskWitnesses
{
    friend bool operator==(const AskWitnesses &, const AskWitnesses &) = default;
};

// This entry leads. `epochCondition` fences the transactions of this epoch.
struct Lead
{
    Epoch epoch = 0;
    platform::Condition epochCondition;

    friend bool operator==(const Lead &, const Lead &) = default;
};

// This entry may not decide for now, but nobody has taken over yet.
struct Suspend
{
    Epoch epoch = 0;

    friend bool operator==(const Suspend &, const Suspend &) = default;
};

// The same epoch may decide again.
struct Resume
{
    Epoch epoch = 0;

    friend bool operator==(const Resume &, const Resume &) = default;
};

// The epoch is over for this entry: discard all plans.
struct Resign
{
    Epoch epoch = 0;

    friend bool operator==(const Resign &, const Resign &) = default;
};

// Tells the entries of the data centre that the lease is free; best effort.
struct AnnounceRelease
{
    Epoch epoch = 0;

    friend bool operator==(const AnnounceRelease &, const AnnounceRelease &) = default;
};

using LeaseAction =
    std::variant<ReadRows, WriteRows, AskWitnesses, Lead, Suspend, Resume, Resign, AnnounceRelease>;

// One entry's part in the scheduler lease of its data centre. Pure and not thread safe. Needs a
// LeaseTick about every 100 ms.
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseSettings settings);
    ~LeaseHolder();
    LeaseHolder(LeaseHolder &&) noexcept;
    LeaseHolder &operator=(LeaseHolder &&) noexcept;

    std::vector<LeaseAction> apply(const LeaseEvent &event, core::Instant now);

    // True if this entry may decide at this moment. To be checked again after every operation that
    // can pause.
    bool mayDecide(core::Instant now) const;
    // True if it decides although the store is unavailable to everybody.
    bool storeOutage() const;
    // The epoch that this entry holds, 0 if none.
    Epoch heldEpoch() const;
    // The highest epoch and its holder as last read; empty if unknown.
    Epoch knownEpoch() const;
    core::EntryId knownHolder() const;
    // Guards transactions of the held epoch; empty key if none is held.
    platform::Condition epochCondition() const;
    StoreView storeView(core::Instant now) const;
    // True after HandOver when the lease is released or was never held.
    bool handedOver() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::ownership
