#pragma once

#include "targetset.h"

#include <memory>
#include <random>

namespace oleandercross::dispatch::detail {

// Numbers of waiting requests of one service, or of slots requested for them.
struct WorkCounts
{
    int shortCount = 0;
    int longCount = 0;

    friend bool operator==(const WorkCounts &, const WorkCounts &) = default;
};

// Strategy that chooses the target of a request.
class Router
{
public:
    virtual ~Router() = default;

    // Returns the target to which the caller must send the request now, or null if the request has
    // to wait.
    virtual Target *choose(const Targets &targets, const RequestNeeds &need, core::Instant now) = 0;

    // Returns whether the last choice uses a granted slot.
    virtual bool lastChoiceUsesGrant() const { return false; }

    // Records that an agent granted slots of a service.
    virtual void recordGrant(const core::ServiceId &, const SlotsGranted &) { }

    // Updates the demand for slots. To be called after each event with the numbers of requests that
    // are still waiting; returns messages to agents.
    virtual std::vector<SendSlotDemand> updateDemand(const core::ServiceId &service,
                                                     const Targets &targets,
                                                     const WorkCounts &waiting, core::Instant now);
};

std::unique_ptr<Router> makeRouter(Routing routing, std::mt19937_64 generator);

// Chooses the less loaded of two random targets by expected remaining work, in the nearest data
// centre with free slots. More distant data centres are used before a request waits.
class TwoChoices : public Router
{
public:
    explicit TwoChoices(std::mt19937_64 generator)
        : m_generator(generator)
    { }

    Target *choose(const Targets &targets, const RequestNeeds &need, core::Instant now) override;

private:
    std::mt19937_64 m_generator;
};

// Assigns a request to a target once that target's agent grants a slot, like the reservations of
// Sparrow (SOSP 2013). Slots known to be free are used without a grant while no request is waiting,
// which saves a round trip.
class LateBinding : public Router
{
public:
    explicit LateBinding(std::mt19937_64 generator)
        : m_generator(generator)
    { }

    Target *choose(const Targets &targets, const RequestNeeds &need, core::Instant now) override;
    bool lastChoiceUsesGrant() const override { return m_lastChoiceUsesGrant; }
    void recordGrant(const core::ServiceId &service, const SlotsGranted &grant) override;
    std::vector<SendSlotDemand> updateDemand(const core::ServiceId &service, const Targets &targets,
                                             const WorkCounts &waiting, core::Instant now) override;

private:
    // Slots requested for one service.
    struct Demand
    {
        core::Instant lastSentAt = absl::InfinitePast();
        // Time at which a grant was last used, initially the time at which requests began to wait.
        core::Instant lastProgressAt = absl::InfinitePast();
        // Slots requested and not granted yet.
        absl::btree_map<TargetId, WorkCounts> perTarget;

        // Returns true once demand has been sent.
        bool isActive() const { return lastSentAt != absl::InfinitePast(); }
        WorkCounts total() const;
        bool hasDemandOn(const TargetId &id) const;
    };

    // Cancels all demand of the service and returns unused grants.
    static std::vector<SendSlotDemand> withdrawDemand(Demand &demand, const Targets &targets,
                                                      core::Instant now);
    // Returns grants for short work if only long requests are waiting, which cannot use them.
    static void returnShortGrants(Demand &demand, const Targets &targets, core::Instant now,
                                  std::vector<SendSlotDemand> &messages);
    // Distributes the demand for one kind of work over random targets.
    void distributeDemand(Demand &demand, const Targets &targets, int WorkCounts::*kind,
                          int waiting);

    std::mt19937_64 m_generator;
    bool m_lastChoiceUsesGrant = false;
    // True once a grant was used. Until then, requests are routed by estimated free slots as in
    // TwoChoices after the first GrantTimeout.
    bool m_grantUsed = false;
    bool m_useEstimates = false;
    absl::btree_map<core::ServiceId, Demand> m_demands;
};

} // namespace oleandercross::dispatch::detail
