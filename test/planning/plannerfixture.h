#pragma once

#include <oleandercross/planning/planner.h>

#include <string>
#include <vector>

namespace oleandercross::planning::testing {

// A planner with identical workers of 32 cores, 64000 MiB of memory and 8 accelerators, three per
// rack and data centre, and helpers for jobs and orders.
struct PlannerFixture
{
    explicit PlannerFixture(int workers = 6, PlannerOptions options = {})
        : planner(options)
    {
        for (int i = 0; i < workers; ++i)
            planner.updateWorker(worker(i));
    }

    static Worker worker(int index)
    {
        Worker worker;
        worker.key = "w" + std::to_string(index);
        worker.agent = worker.key;
        worker.service = "service";
        worker.rack = "r" + std::to_string(index / 3);
        worker.dataCentre = "d" + std::to_string(index / 3);
        worker.labels = {"a", worker.rack};
        worker.capacity = {32000, 64000, 8};
        worker.accepting = true;
        return worker;
    }

    static workload::Job job(const std::string &id, int priority, int tasks, int accelerators,
                             bool gang = true)
    {
        workload::Job job;
        job.id = id;
        job.account = "account";
        job.queue = "q";
        // Two attempts, and a latency objective of twice the critical path plus 1 s.
        job.terms = {"service", priority, 2, 2.0, 1000};
        job.payload = "payload of " + id;
        workload::Step step;
        step.tasks = tasks;
        step.perTask = {1000, 1000, accelerators};
        step.estimateMs = 5000;
        step.gang = gang;
        job.steps.push_back(step);
        return job;
    }

    // Submits eight copies of an urgent job and cancels them, so that the planner expects more.
    void expectUrgentJobs(workload::Job job)
    {
        for (int i = 0; i < 8; ++i) {
            job.id = "earlier" + std::to_string(i);
            planner.addJob(job, now);
            planner.cancelJob(job.id, now);
        }
    }

    std::vector<Order> plan() { return planner.plan(now, absl::ToUnixMillis(now)).orders; }

    void advanceTime(absl::Duration duration) { now += duration; }

    static std::vector<Order> ordersOfKind(const std::vector<Order> &orders, Order::Kind kind)
    {
        std::vector<Order> result;
        for (const Order &order : orders) {
            if (order.kind == kind)
                result.push_back(order);
        }
        return result;
    }

    std::vector<Order> planStarts() { return ordersOfKind(plan(), Order::Kind::Start); }

    void confirm(const std::vector<Order> &orders)
    {
        for (const Order &order : orders) {
            if (order.kind == Order::Kind::Start)
                planner.startConfirmed(order.worker, order.run, now);
        }
    }

    void end(const Order &order, RunEnd outcome, const std::string &checkpoint = {})
    {
        planner.runEnded(order.worker, order.run, outcome, checkpoint, now);
    }

    Planner planner;
    core::Instant now = absl::FromUnixSeconds(1780000000);
};

} // namespace oleandercross::planning::testing
