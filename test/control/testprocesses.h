#pragma once

#include "fakerowstore.h"
#include "loopback.h"

#include <oleandercross/control/agent.h>
#include <oleandercross/control/entry.h>

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <functional>

namespace oleandercross::control::testing {

inline constexpr char Key[] = "test";
// Much longer than any step takes, so that the test does not fail on a slow machine.
inline constexpr absl::Duration StateTimeout = absl::Seconds(60);
inline constexpr absl::Duration PollPeriod = absl::Milliseconds(5);

// Returns false if the condition is still not met after the timeout.
inline bool waitUntil(const std::function<bool()> &condition, absl::Duration timeout = StateTimeout)
{
    const core::BootClock clock;
    const core::Instant until = clock.now() + timeout;
    while (!condition() && clock.now() < until)
        absl::SleepFor(PollPeriod);
    return condition();
}

inline void announce(RowStore &store, const Member &member)
{
    RowChanges changes;
    changes.puts.push_back({MemberTable, member.name, encodeMember(member)});
    REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
}

// An agent with an RPC server on the loopback interface.
struct AgentProcess
{
    AgentProcess(RowStore &store, WorkerPort &worker, const std::string &name,
                 absl::Duration lease = absl::Milliseconds(500))
        : port(freePort())
        , server(onLoopback(port), Key)
        , agent({name, lease}, worker)
    {
        server.add("watch", [this, name](const Json::Value &params) -> std::optional<Json::Value> {
            if (!isAddressedTo(name, params))
                return std::nullopt;
            if (watchesPaused) {
                ++heldWatches;
                while (watchesPaused)
                    absl::SleepFor(PollPeriod);
                --heldWatches;
            }
            const auto state = agent.watch(watchCallFromJson(params));
            return state ? std::optional(toJson(*state)) : std::nullopt;
        });
        server.add("orders", [this, name](const Json::Value &params) -> std::optional<Json::Value> {
            if (!isAddressedTo(name, params))
                return std::nullopt;
            const int position = m_receivedOrders++;
            ++waitingOrders;
            while (ordersPaused || m_completedOrders < position)
                absl::SleepFor(PollPeriod);
            const auto results = agent.execute(*orderCallFromJson(params));
            --waitingOrders;
            ++m_completedOrders;
            if (!results)
                return std::nullopt;
            Json::Value answer(Json::objectValue);
            for (const OrderResult result : *results)
                answer["results"].append(static_cast<int>(result));
            return answer;
        });
        REQUIRE(server.start());
        agent.start();
        announce(store, {name, MemberRole::Agent, {"127.0.0.1", port}, "life"});
    }

    ~AgentProcess()
    {
        watchesPaused = false;
        ordersPaused = false;
        agent.stop();
        server.stop();
    }

    const int port;
    // Calls wait while these are set, as they do in the buffers of a process that does not run.
    std::atomic<bool> watchesPaused = false;
    std::atomic<bool> ordersPaused = false;
    std::atomic<int> heldWatches = 0;
    std::atomic<int> waitingOrders = 0;
    rpc::Server server;
    Agent agent;

private:
    // Held calls are executed in the order of their arrival, so that a stop does not overtake the
    // start that it revokes.
    std::atomic<int> m_receivedOrders = 0;
    std::atomic<int> m_completedOrders = 0;
};

// An entry with an RPC server on the loopback interface and an empty configuration.
struct EntryProcess
{
    EntryProcess(RowStore &store, const std::string &name,
                 absl::Duration lease = absl::Milliseconds(500),
                 absl::Duration closureBound = absl::InfiniteDuration(),
                 absl::Duration retention = LeaderOptions().retention)
        : port(freePort())
        , client({}, Key)
        , server(onLoopback(port), Key)
        , entry(options(name, lease, closureBound, retention), store, client, server, metrics,
                [](const std::string &) { return std::optional(workload::Catalog{}); })
    {
        REQUIRE(server.start());
        entry.start();
    }

    ~EntryProcess()
    {
        entry.stop();
        server.stop();
    }

    EntryOptions options(const std::string &name, absl::Duration lease, absl::Duration closureBound,
                         absl::Duration retention) const
    {
        EntryOptions options;
        options.self = {name, MemberRole::Entry, {"127.0.0.1", port}, "life"};
        options.leader.lease = lease;
        options.leader.retention = retention;
        options.configTable = "op";
        options.configKey = "config";
        options.closurePrefix = "evacuate/";
        options.leader.closureBound = closureBound;
        return options;
    }

    // Polls the state of the job as callers do, until it is the given one or StateTimeout has
    // passed.
    bool reaches(const std::string &job, planning::JobState state)
    {
        const core::BootClock clock;
        const core::Instant until = clock.now() + StateTimeout;
        while (clock.now() < until) {
            const JobStatus answer = entry.state(job, clock.now() + absl::Seconds(5));
            if (answer.kind == JobStatus::Kind::Known && answer.state == state)
                return true;
            absl::SleepFor(absl::Milliseconds(20));
        }
        return false;
    }

    const int port;
    telemetry::Metrics metrics;
    rpc::Client client;
    rpc::Server server;
    Entry entry;
};

inline workload::Job job(const std::string &id, int tasks,
                         const workload::Demand &perTask = {1000, 1000, 1})
{
    workload::Job job;
    job.id = id;
    job.queue = "q";
    job.terms.service = "booking";
    workload::Step step;
    step.tasks = tasks;
    step.perTask = perTask;
    step.gang = true;
    job.steps.push_back(step);
    return job;
}

inline core::Instant nearDeadline()
{
    return core::BootClock().now() + absl::Seconds(10);
}

} // namespace oleandercross::control::testing
