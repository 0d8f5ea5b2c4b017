#pragma once

#include <oleandercross/dispatch/message.h>

#include <memory>
#include <vector>

namespace oleandercross::dispatch {

struct AdmissionSettings
{
    core::AgentId agent;
    std::int64_t incarnation = 0;
    // Slots of each minion kept for short work.
    int shortSlots = 2;
    // A request that runs for longer is long work, whatever it was classified as.
    absl::Duration shortLimit = absl::Milliseconds(100);
    // No new work when the configuration was not confirmed for this long.
    absl::Duration configurationLimit = absl::Seconds(5);
    // Dispatches that were sent on older announcements than this are refused.
    absl::Duration maxMessageAge = absl::Seconds(30);
};

// Slots granted to an entry, see SlotsGranted.
struct SlotGrant
{
    core::EntryId entry;
    core::MinionId minion;
    int slots = 0;
    int shortSlots = 0;
    absl::Duration validFor;

    friend bool operator==(const SlotGrant &, const SlotGrant &) = default;
};

// Final arbiter of the slots of the minions beside one agent. Pure and not thread safe.
class Admission
{
public:
    Admission(AdmissionSettings settings, core::Instant started);
    ~Admission();
    Admission(const Admission &) = delete;
    Admission &operator=(const Admission &) = delete;

    // Adds a minion or changes its size. Requests running beyond a smaller size continue.
    void setMinion(const core::MinionId &minion, const core::ServiceId &service, int slots);
    void setDraining(const core::MinionId &minion, bool draining);
    // All minions: the process stops.
    void setDraining(bool draining);
    // An entry confirmed that the configuration in force is the newest.
    void configurationConfirmed(core::Instant now);

    // Takes a slot and returns Ok, or returns why the request does not run (3xx).
    core::ResultCode start(const DispatchMessage &message, core::Instant now);
    // Frees the slot of a request that ended.
    void release(const core::RequestId &id);

    // Records how many slots an entry wants, `shortSlots` of them for short work. Replaces its
    // earlier demand; zero also takes back its unused grants. Demands lapse after 400 ms.
    void demand(const core::EntryId &entry, const core::MinionId &minion, int slots, int shortSlots,
                core::Instant now);
    // Grants free slots to entries with demand, in turn. Call after demand() and release().
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
