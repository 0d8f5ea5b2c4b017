#pragma once

#include "targetset.h"

#include <memory>
#include <random>

namespace oleandercross::dispatch::detail {

// Requests of one service that wait at the entry.
struct Waiting
{
    int shortWork = 0;
    int longWork = 0;

    friend bool operator==(const Waiting &, const Waiting &) = default;
};

// Chooses the target of a request.
class Router
{
public:
    virtual ~Router() = default;

    // The target that the request should be sent to now, or null if it should wait. The caller
    // sends it there.
    virtual Target *choose(const Targets &targets, const Need &need, core::Instant now) = 0;

    // Whether the last choice uses a granted slot.
    virtual bool lastChoiceGranted() const { return false; }

    // An agent granted slots of a service.
    virtual void granted(const core::ServiceId &, const SlotsGranted &) { }

    // Called after each event with the requests that still wait. Returns messages to agents.
    virtual std::vector<AskSlots> waiting(const core::ServiceId &service, const Targets &targets,
                                          const Waiting &waiting, core::Instant now);
};

std::unique_ptr<Router> makeRouter(Routing routing, std::mt19937_64 generator);

// The less loaded of two random targets by expected remaining work, in the nearest data centre
// that has room. Further ones are used before a request waits.
class TwoChoices : public Router
{
public:
    explicit TwoChoices(std::mt19937_64 generator)
        : m_generator(generator)
    { }

    Target *choose(const Targets &targets, const Need &need, core::Instant now) override;

private:
    std::mt19937_64 m_generator;
};

// Binds a request to a target when that target's agent grants a slot, as Sparrow (SOSP 2013) does
// with its reservations. Slots that are known to be free are used without a grant while nothing
// waits, which saves a round trip.
class LateBinding : public Router
{
public:
    explicit LateBinding(std::mt19937_64 generator)
        : m_generator(generator)
    { }

    Target *choose(const Targets &targets, const Need &need, core::Instant now) override;
    bool lastChoiceGranted() const override { return m_granted; }
    void granted(const core::ServiceId &service, const SlotsGranted &grant) override;
    std::vector<AskSlots> waiting(const core::ServiceId &service, const Targets &targets,
                                  const Waiting &waiting, core::Instant now) override;

private:
    // What was asked for the requests of one service.
    struct Demand
    {
        core::Instant askedAt = absl::InfinitePast();
        // When a grant was used, or when the requests began to wait.
        core::Instant lastGrant = absl::InfinitePast();
        // Slots asked for and not granted yet.
        absl::btree_map<TargetId, Waiting> perTarget;

        bool open() const { return askedAt != absl::InfinitePast(); }
        Waiting asked() const;
        bool askedOf(const TargetId &id) const;
    };

    static std::vector<AskSlots> withdraw(Demand &demand, const Targets &targets,
                                          core::Instant now);
    static void giveBackShort(Demand &demand, const Targets &targets, core::Instant now,
                              std::vector<AskSlots> &messages);
    // Sets one kind of demand at random targets, two slots per waiting request.
    void spread(Demand &demand, const Targets &targets, int Waiting::*kind, int waiting);

    std::mt19937_64 m_generator;
    bool m_granted = false;
    // Agents without grants are routed to as by TwoChoices, after waiting once in vain.
    bool m_agentsGrant = false;
    bool m_gaveUp = false;
    absl::btree_map<core::ServiceId, Demand> m_demands;
};

} // namespace oleandercross::dispatch::detail
