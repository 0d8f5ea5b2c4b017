#pragma once

#include <oleandercross/dispatch/message.h>

#include <memory>
#include <vector>

namespace oleandercross::dispatch {

struct AdmissionSettings
{
    core::AgentId agent;
    std::int64_t incarnation = 0;
    // Slots of each minion that are reserved for short work.
    int shortSlots = 2;
    // A request that runs for longer than this counts as long work, regardless of its
    // classification.
    absl::Duration shortLimit = absl::Milliseconds(100);
    // New work is refused if the configuration has not been confirmed for this long.
    absl::Duration maxConfigurationAge = absl::Seconds(5);
    // Dispatches that are based on an announcement older than this are refused.
    absl::Duration maxMessageAge = absl::Seconds(30);
};

// Slots that an agent grants to an entry. See SlotsGranted.
struct SlotGrant
{
    core::EntryId entry;
    core::MinionId minion;
    int slots = 0;
    int shortSlots = 0;
    absl::Duration validFor;

    friend bool operator==(const SlotGrant &, const SlotGrant &) = default;
};

// Admission control for the slots of all minions of one agent. Performs no I/O and is not
// thread-safe.
class Admission
{
public:
    Admission(AdmissionSettings settings, core::Instant started);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    // Adds a minion or changes its number of slots. If the number shrinks below the number of
    // running requests, these requests continue.
    void setMinion(const core::MinionId &minion, const core::ServiceId &service, int slots);
    void setDraining(const core::MinionId &minion, bool draining);
    // Sets the draining state of all minions, for shutting down the process.
    void setDraining(bool draining);
    // Records that an entry confirmed the active configuration as the latest one.
    void configurationConfirmed(core::Instant now);

    // Occupies a slot for the request and returns Ok, or returns the reason for the refusal (3xx).
    core::ResultCode start(const DispatchMessage &message, core::Instant now);
    // Releases the slot of a request that has ended.
    void release(const core::RequestId &id);

    // Records how many slots an entry requests, `shortSlots` of them for short work. Replaces the
    // entry's previous demand; a demand of zero also revokes its unused grants. Demands expire
    // after 400 ms.
    void demand(const core::EntryId &entry, const core::MinionId &minion, int slots, int shortSlots,
                core::Instant now);
    // Grants free slots to entries with demand in round-robin order. To be called after demand()
    // and release().
    std::vector<SlotGrant> grant(core::Instant now);

    TargetLoad load(const core::MinionId &minion, core::Instant now) const;
    int running(const core::MinionId &minion) const;
    absl::Duration uptime(core::Instant now) const;
    const AdmissionSettings &settings() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::dispatch
