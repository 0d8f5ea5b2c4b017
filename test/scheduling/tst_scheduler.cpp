#include <oleandercross/scheduling/scheduler.h>

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>

using namespace oleandercross;
using namespace oleandercross::scheduling;
using core::ResultCode;

namespace {

const core::DataCentreId Here("here");

// Two accounts, of which `owner` has a guarantee of one worker. The workers have 4 accelerators.
class Fixture
{
public:
    explicit Fixture(int workers = 2)
    {
        config::Manifest manifest;
        manifest.dataCentres = {{Here, 1, workers, {4, 16, 16000}}};
        for (const char *name : {"owner", "borrower"}) {
            config::Account account;
            account.name = core::AccountId(name);
            account.teams = {{core::TeamId("team"), 64}, {core::TeamId("small"), 2}};
            manifest.accounts.push_back(account);
        }
        manifest.accounts.front().guarantees = {{Here, config::Level::Worker, 1}};
        apply(ManifestChanged{std::make_shared<config::Manifest>(manifest)});
        for (int i = 0; i < workers; ++i)
            apply(WorkerJoined{
                core::WorkerId("w" + std::to_string(i)), core::RackId("r"), {4, 16, 16000}});
        apply(StateRestored{});
    }

    std::vector<Action> apply(const Event &event)
    {
        actions = scheduler.apply(event, now);
        return actions;
    }

    void run(const JobSpec &spec)
    {
        apply(JobSubmitted{spec});
        apply(GangStarted{spec.id, scheduler.job(spec.id)->attempt});
    }

    template <typename T>
    const T *find() const
    {
        for (const Action &action : actions) {
            if (const auto *found = std::get_if<T>(&action))
                return found;
        }
        return nullptr;
    }

    Scheduler scheduler{Here};
    core::Instant now = absl::UnixEpoch();
    std::vector<Action> actions;
};

JobSpec spec(const char *id, const char *account, int tasks, int accelerators)
{
    JobSpec job;
    job.id = core::JobId(id);
    job.account = core::AccountId(account);
    job.team = core::TeamId("team");
    job.tasks = tasks;
    job.perTask = {accelerators, 1, 1000};
    job.repeatable = true;
    return job;
}

} // namespace

TEST_CASE("submissions that can never run are refused immediately")
{
    struct Row
    {
        const char *account;
        const char *team;
        int tasks;
        core::Resources perTask;
        ResultCode code;
    };
    const auto row = GENERATE(Row{"nobody", "team", 1, {1, 1, 1}, ResultCode::UnknownAccount},
                              Row{"owner", "nobody", 1, {1, 1, 1}, ResultCode::UnknownTeam},
                              Row{"owner", "team", 0, {1, 1, 1}, ResultCode::BadSize},
                              Row{"owner", "team", 65, {0, 1, 1}, ResultCode::BadSize},
                              Row{"owner", "team", 1, {0, 0, 0}, ResultCode::BadSize},
                              Row{"owner", "team", 1, {5, 1, 1}, ResultCode::NeverFits},
                              Row{"owner", "team", 9, {1, 1, 1}, ResultCode::NeverFits},
                              Row{"owner", "small", 3, {1, 1, 1}, ResultCode::NeverFits});
    Fixture fixture;
    JobSpec job = spec("j", row.account, row.tasks, 0);
    job.team = core::TeamId(row.team);
    job.perTask = row.perTask;
    fixture.apply(JobSubmitted{job});
    REQUIRE(fixture.find<JobStateChanged>());
    CHECK(fixture.find<JobStateChanged>()->code == row.code);
    CHECK(fixture.scheduler.jobs().empty());
}

TEST_CASE("a claim stops borrowers after the checkpoint timeout")
{
    const bool urgent = GENERATE(false, true);
    Fixture fixture;
    JobSpec borrowed = spec("b", "borrower", 8, 1);
    borrowed.checkpointable = true;
    fixture.run(borrowed);
    JobSpec claim = spec("c", "owner", 1, 4);
    claim.urgent = urgent;
    fixture.apply(JobSubmitted{claim});
    REQUIRE(fixture.find<CheckpointGang>());
    CHECK(fixture.scheduler.job(claim.id)->reserved);

    fixture.now += urgent ? absl::Seconds(1) : absl::Seconds(10);
    fixture.apply(Tick{});
    REQUIRE(fixture.find<StopGang>());
    fixture.apply(GangStopped{borrowed.id, 1});
    REQUIRE(fixture.find<StartGang>());
    CHECK(fixture.find<StartGang>()->job == claim.id);
    CHECK(fixture.scheduler.job(claim.id)->capacityClass == CapacityClass::Guaranteed);
}

TEST_CASE("a lost worker is reported as a shortfall until it returns")
{
    Fixture fixture(1);
    fixture.apply(WorkerLost{core::WorkerId("w0")});
    REQUIRE(fixture.find<ShortfallChanged>());
    CHECK(fixture.find<ShortfallChanged>()->missing
          == std::vector<MissingCells>{{config::Level::Worker, 1}});
    fixture.apply(WorkerReturned{core::WorkerId("w0")});
    REQUIRE(fixture.find<ShortfallChanged>());
    CHECK(fixture.find<ShortfallChanged>()->missing.empty());
}

TEST_CASE("a job that fails on three workers is stopped, and the workers stay in service")
{
    Fixture fixture(6);
    JobSpec job = spec("j", "borrower", 1, 1);
    std::set<core::WorkerId> tried;
    fixture.apply(JobSubmitted{job});
    for (int attempt = 1; attempt <= 3; ++attempt) {
        REQUIRE(fixture.find<StartGang>());
        tried.insert(fixture.find<StartGang>()->placement.tasks.front().worker);
        fixture.apply(GangStarted{job.id, attempt});
        fixture.apply(TaskFailed{job.id, attempt, 0, "exit status 1"});
        fixture.apply(GangStopped{job.id, attempt});
    }
    CHECK(tried.size() == 3);
    REQUIRE(fixture.find<JobStateChanged>());
    CHECK(fixture.find<JobStateChanged>()->code == ResultCode::JobFailedEverywhere);
    CHECK(fixture.scheduler.quarantined().empty());
}

TEST_CASE("a worker on which different jobs fail is quarantined and then put on probation")
{
    Fixture fixture(6);
    std::optional<core::WorkerId> bad;
    for (int i = 0; fixture.scheduler.quarantined().empty() && i < 20; ++i) {
        const JobSpec job = spec(("j" + std::to_string(i)).c_str(), "borrower", 1, 1);
        fixture.apply(JobSubmitted{job});
        const auto worker = fixture.find<StartGang>()->placement.tasks.front().worker;
        bad = bad.value_or(worker);
        fixture.apply(GangStarted{job.id, 1});
        if (worker == *bad) {
            fixture.apply(TaskFailed{job.id, 1, 0, "exit status 1"});
            fixture.apply(JobCancelled{job.id});
            fixture.apply(GangStopped{job.id, 1});
        }
    }
    CHECK(fixture.scheduler.quarantined() == std::vector{*bad});
    fixture.now += absl::Minutes(10);
    fixture.apply(Tick{});
    REQUIRE(fixture.find<QuarantineChanged>());
    CHECK(fixture.find<QuarantineChanged>()->healthState == HealthState::Probation);
}

TEST_CASE("a job that outgrows its memory is throttled, then enlarged twice, then failed")
{
    Fixture fixture;
    JobSpec job = spec("j", "borrower", 1, 1);
    fixture.apply(JobSubmitted{job});
    for (int attempt = 1; attempt <= 3; ++attempt) {
        fixture.apply(GangStarted{job.id, attempt});
        const UsageReported usage{
            job.id, attempt, 0, {1, 1, fixture.scheduler.job(job.id)->perTask.memoryMb + 1}};
        fixture.apply(usage);
        CHECK(fixture.find<ThrottleTask>());
        fixture.now += absl::Seconds(30);
        fixture.apply(usage);
        CHECK(fixture.find<StopGang>());
        fixture.apply(GangStopped{job.id, attempt});
        CHECK((fixture.find<RequeueLarger>() != nullptr) == (attempt < 3));
    }
    CHECK(fixture.find<JobStateChanged>()->code == ResultCode::JobOutgrewLimit);
}

TEST_CASE("explain() returns the reason why a job waits")
{
    Fixture fixture;
    JobSpec first = spec("a", "borrower", 2, 1);
    first.team = core::TeamId("small");
    fixture.run(first);
    JobSpec second = spec("b", "borrower", 1, 1);
    second.team = core::TeamId("small");
    fixture.apply(JobSubmitted{second});
    const auto explanation = fixture.scheduler.explain(second.id, fixture.now);
    REQUIRE(explanation);
    CHECK(explanation->reason == "team small has no quota left for the job");
    CHECK_FALSE(explanation->remedy.empty());
    CHECK_FALSE(fixture.scheduler.explain(core::JobId("unknown"), fixture.now));
    CHECK(core::lastReason().code == ResultCode::UnknownJob);
}

// Guards against a cost per cancellation that grows with the length of the queue.
TEST_CASE("10,000 cancellations in one burst leave the queue empty")
{
    Fixture fixture;
    for (int i = 0; i < 10000; ++i)
        fixture.apply(JobSubmitted{spec(("j" + std::to_string(i)).c_str(), "borrower", 1, 4)});
    std::size_t ended = 0;
    for (int i = 0; i < 10000; ++i) {
        const core::JobId id("j" + std::to_string(i));
        fixture.apply(JobCancelled{id});
        if (fixture.find<StopGang>())
            fixture.apply(GangStopped{id, 1});
        ended += fixture.scheduler.job(id) ? 0 : 1;
    }
    CHECK(ended == 10000);
    CHECK(fixture.scheduler.jobs().empty());
}

// Compares the placement of a gang beside running jobs with an exhaustive search.
TEST_CASE("a gang starts exactly when some placement exists")
{
    std::mt19937 random(20260102);
    for (int trial = 0; trial < 1000; ++trial) {
        Scheduler scheduler(Here);
        config::Manifest manifest;
        manifest.dataCentres = {{Here, 2, 2, {4, 4, 4}}};
        config::Account account;
        account.name = core::AccountId("borrower");
        account.teams = {{core::TeamId("team"), 64}};
        manifest.accounts = {account};
        scheduler.apply(ManifestChanged{std::make_shared<config::Manifest>(manifest)}, {});
        StateRestored state;
        std::vector<int> free(4, 4);
        for (int w = 0; w < 4; ++w) {
            const core::WorkerId worker("w" + std::to_string(w));
            scheduler.apply(
                WorkerJoined{worker, core::RackId("r" + std::to_string(w / 2)), {4, 4, 4}}, {});
            for (int a = 0; a < 4; ++a) {
                if (random() % 2 == 0)
                    continue;
                --free[static_cast<std::size_t>(w)];
                RestoredJob job;
                job.spec = spec(("r" + std::to_string(4 * w + a)).c_str(), "borrower", 1, 1);
                job.spec.perTask = {1, 1, 1};
                job.state = JobState::Running;
                job.attempt = 1;
                job.placement.tasks = {{worker, {a}}};
                state.jobs.push_back(job);
            }
        }
        scheduler.apply(state, {});
        JobSpec gang = spec("g", "borrower", 1 + static_cast<int>(random() % 5),
                            1 + static_cast<int>(random() % 4));
        gang.perTask = {gang.perTask.accelerators, 1, 1};
        gang.adjacency = static_cast<Adjacency>(random() % 3);
        gang.adjacencyHard = true;
        scheduler.apply(JobSubmitted{gang}, {});

        const std::function<bool(int, int, int)> search = [&](int task, int worker, int rack) {
            if (task == gang.tasks)
                return true;
            for (int w = 0; w < 4; ++w) {
                int &available = free[static_cast<std::size_t>(w)];
                const bool near = gang.adjacency == Adjacency::DataCentre || task == 0
                    || (gang.adjacency == Adjacency::Rack ? w / 2 == rack : w == worker);
                if (!near || available < gang.perTask.accelerators)
                    continue;
                available -= gang.perTask.accelerators;
                const bool found = search(task + 1, w, w / 2);
                available += gang.perTask.accelerators;
                if (found)
                    return true;
            }
            return false;
        };
        const auto view = scheduler.job(gang.id);
        CAPTURE(trial);
        REQUIRE((view && view->state == JobState::Starting) == search(0, 0, 0));
    }
}
