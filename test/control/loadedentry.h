#pragma once

#include "testprocesses.h"

namespace oleandercross::control::testing {

inline constexpr char Id[] = "5c0e7a21d94b36f8";

inline workload::Job shortJob(int priority = 1, const std::string &account = "venues")
{
    workload::Job result = job(Id, 1);
    result.account = account;
    result.terms = {"booking", priority, 1, 1.5, 0};
    result.steps[0].estimateMs = 1000;
    return result;
}

// The leader as the entries see it, with a backlog of 1000 s.
struct FakeLeader
{
    explicit FakeLeader(FakeRowStore &store)
        : server(onLoopback(port), Key)
    {
        server.add("leader-health", [this](const Json::Value &) {
            absl::MutexLock lock(&m_mutex);
            return std::optional(m_answer);
        });
        report(true);
        REQUIRE(server.start());
        Leadership leadership;
        leadership.epoch = 1;
        leadership.holder = "leader";
        leadership.address = {"127.0.0.1", port};
        RowChanges changes;
        changes.puts = {{LeaderTable, LeaderKey, encodeLeadership(leadership)},
                        {"op", "config", "text"}};
        REQUIRE(store.commit(changes, StoreTimeout).outcome == CommitOutcome::Applied);
    }

    ~FakeLeader() { server.stop(); }

    void report(bool loaded, std::int64_t version = 0, std::int64_t ageMs = 0)
    {
        planning::LoadForecast forecast;
        planning::ServiceLoad &service = forecast.services["booking"];
        service.openWorkers = {{{8000, 64000, 8}, 4}};
        service.workRate = 100000;
        service.priorities[0] = {100000, {}};
        service.priorities[0].workWithin.fill(100000);
        Json::Value answer(Json::objectValue);
        answer["leads"] = true;
        answer["healthy"] = true;
        answer["storeVersion"] = static_cast<Json::Int64>(version);
        if (loaded) {
            answer["forecast"] = planning::toJson(forecast);
            answer["forecastAgeMs"] = static_cast<Json::Int64>(ageMs);
        }
        absl::MutexLock lock(&m_mutex);
        m_answer = answer;
    }

    const int port = freePort();
    rpc::Server server;

private:
    absl::Mutex m_mutex;
    Json::Value m_answer ABSL_GUARDED_BY(m_mutex);
};

// An entry beside the leader.
struct LoadedEntry
{
    explicit LoadedEntry(FakeRowStore &store)
        : client({}, Key)
        , server({}, Key)
        , entry(options(), store, client, server, metrics, decode)
    {
        entry.start();
        REQUIRE(waitUntil([this] { return entry.ready(); }));
    }

    static std::optional<workload::Catalog> decode(const std::string &)
    {
        workload::Catalog catalog;
        catalog.queues.push_back({"q", "127.0.0.1", "/jobs/", shortJob().terms, true});
        catalog.accounts = {{"families", {}, 8}, {"venues", {}, 0}};
        return catalog;
    }

    static EntryOptions options()
    {
        EntryOptions options;
        options.self = {"front", MemberRole::Entry, {"127.0.0.1", 1}, "life"};
        options.configTable = "op";
        options.configKey = "config";
        return options;
    }

    void awaitForecast(bool present)
    {
        REQUIRE(waitUntil([&] { return (entry.forecast().forecast != nullptr) == present; }));
    }

    Submission submit(const workload::Job &job = shortJob())
    {
        return entry.submit(job, nearDeadline());
    }

    telemetry::Metrics metrics;
    rpc::Client client;
    rpc::Server server;
    Entry entry;
};

} // namespace oleandercross::control::testing
