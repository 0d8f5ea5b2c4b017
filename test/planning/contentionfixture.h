#pragma once

#include "plannerfixture.h"

#include <map>

namespace oleandercross::planning::testing {

// Executes the planner's orders in steps of 50 ms: a run completes after `runTime`, and a stop
// takes the whole stop time. Members of a gang complete together.
struct ContentionFixture : PlannerFixture
{
    using PlannerFixture::PlannerFixture;

    struct Run
    {
        std::string worker;
        core::Instant startedAt;
        core::Instant stopsAt = absl::InfiniteFuture();
    };

    void run(absl::Duration duration)
    {
        for (const core::Instant end = now + duration; now < end;
             advanceTime(absl::Milliseconds(50))) {
            endRuns();
            listRuns();
            for (const Order &order : plan())
                execute(order);
        }
    }

    void execute(const Order &order)
    {
        if (order.kind == Order::Kind::Start) {
            if (!runs.emplace(order.run, Run{order.worker, now}).second)
                return;
            ++starts[order.run.task.job];
            planner.startConfirmed(order.worker, order.run, now);
        } else if (const auto found = runs.find(order.run); found == runs.end()) {
            planner.runAbsent(order.worker, order.run);
        } else if (found->second.stopsAt == absl::InfiniteFuture()) {
            ++stops[order.run.task.job];
            found->second.stopsAt = now + stopTime;
        }
    }

    void endRuns()
    {
        for (auto it = runs.begin(); it != runs.end();) {
            const auto &[key, run] = *it;
            const bool stopped = now >= run.stopsAt;
            if (!stopped && now < run.startedAt + runTime) {
                ++it;
                continue;
            }
            if (stopped)
                wastedSeconds += absl::ToDoubleSeconds(now - run.startedAt);
            planner.runEnded(run.worker, key, stopped ? RunEnd::Stopped : RunEnd::Completed, {},
                             now);
            it = runs.erase(it);
        }
    }

    void listRuns()
    {
        for (const auto &[key, worker] : planner.workers())
            planner.beginListing(key);
        for (const auto &[key, run] : runs)
            planner.runSeen(
                run.worker, key, {},
                static_cast<int>(100 * absl::FDivDuration(now - run.startedAt, runTime)), now);
    }

    absl::Duration runTime = absl::Seconds(5);
    absl::Duration stopTime = PlannerOptions().stopTime;
    std::map<workload::RunKey, Run> runs;
    std::map<std::string, int> starts;
    std::map<std::string, int> stops;
    double wastedSeconds = 0;
};

} // namespace oleandercross::planning::testing
