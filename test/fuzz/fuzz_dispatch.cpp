#include "dispatchharness.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace oleandercross;
using test::DispatchHarness;
using test::Step;

namespace {

// Every step is possible in every state, so no model is needed.
struct NoModel
{ };

using Command = rc::state::Command<NoModel, DispatchHarness>;

class RunStep : public Command
{
public:
    RunStep()
    {
        // Arrivals, deliveries and completions are frequent, so that requests make progress.
        m_step.kind = *rc::gen::weightedElement<Step::Kind>({{8, Step::Arrive},
                                                             {2, Step::Resend},
                                                             {1, Step::Cancel},
                                                             {8, Step::Deliver},
                                                             {3, Step::DeliverAll},
                                                             {2, Step::Lose},
                                                             {3, Step::Duplicate},
                                                             {6, Step::Finish},
                                                             {2, Step::HoldEnds},
                                                             {1, Step::Restart},
                                                             {2, Step::Announce},
                                                             {1, Step::Gone},
                                                             {1, Step::Drain},
                                                             {3, Step::Advance},
                                                             {1, Step::Limits}});
        m_step.a = *rc::gen::inRange(0u, 10000u);
        m_step.b = *rc::gen::inRange(0u, 10000u);
    }

    void run(const NoModel &, DispatchHarness &harness) const override
    {
        harness.run(m_step);
        if (!harness.violations().empty())
            RC_FAIL(harness.violations().front());
    }

    void show(std::ostream &out) const override { out << m_step; }

private:
    Step m_step;
};

bool holdsInvariants(dispatch::Routing routing)
{
    return rc::check("dispatcher, admission and request table under message faults", [routing] {
        DispatchHarness harness(routing, *rc::gen::inRange<std::uint64_t>(0, 1000));
        rc::state::check(NoModel(), harness, rc::state::gen::execOneOfWithArgs<RunStep>());
        harness.runToCompletion();
        if (!harness.violations().empty())
            RC_FAIL(harness.violations().front());
        RC_CLASSIFY(harness.answered() > 0, "some answered");
        RC_CLASSIFY(harness.refused() > 0, "some refused");
        RC_CLASSIFY(harness.unknown() > 0, "some unknown");
    });
}

} // namespace

// Checks invariants 3, 4 and 5 of the design page: callers get the answers of their own requests
// only, requests reported as not run were not executed, and non-idempotent requests are executed at
// most once. Also checks that every caller gets exactly one outcome.
TEST_CASE("dispatch with two choices holds its invariants under message faults")
{
    CHECK(holdsInvariants(dispatch::Routing::TwoChoices));
}

TEST_CASE("dispatch with late binding holds its invariants under message faults")
{
    CHECK(holdsInvariants(dispatch::Routing::LateBinding));
}
