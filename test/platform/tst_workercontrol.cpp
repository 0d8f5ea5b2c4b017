#include <oleandercross/platform/httpadapters.h>

#include <oleandercross/core/resultcode.h>
#include <standin/simulatedtask.h>

#include <platform/testservers.h>

using namespace oleandercross;
using platform::TaskState;

namespace {

platform::TaskStart taskStart(const std::string &id, const std::string &command)
{
    platform::TaskStart task;
    task.taskId = id;
    task.job = core::JobId("job-1");
    task.resources = {2, 4, 1000};
    task.accelerators = {0, 1};
    task.command = command;
    task.lease = absl::Seconds(60);
    return task;
}

const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);

core::Instant at(double seconds)
{
    return Start + absl::Seconds(seconds);
}

} // namespace

TEST_CASE("a worker runs tasks under leases")
{
    test::TestServer<standin::WorkerRole> worker(absl::ZeroDuration());
    worker.role.setFaults(&worker.server.faults());
    http::ClientPool pool({});
    platform::HttpWorkerControl control(pool, worker.server.endpoint());

    REQUIRE(control.start(taskStart("t1", "never")));
    REQUIRE(control.start(taskStart("t1", "never")));
    CHECK(worker.role.starts("t1") == 1);
    auto tasks = control.tasks();
    REQUIRE(tasks);
    REQUIRE(tasks->size() == 1);
    CHECK(tasks->front().taskId == "t1");
    CHECK(tasks->front().job == core::JobId("job-1"));
    CHECK(tasks->front().state == TaskState::Running);
    CHECK(tasks->front().declared == core::Resources{2, 4, 1000});
    CHECK(tasks->front().accelerators == std::vector<int>{0, 1});

    REQUIRE(control.throttle("t1", 0.5));
    REQUIRE(control.forget({"t1"}));
    CHECK(control.tasks()->size() == 1);
    REQUIRE(control.stop("t1"));
    CHECK(control.tasks()->front().state == TaskState::Stopped);
    REQUIRE(control.forget({"t1"}));
    CHECK(control.tasks()->empty());

    worker.fault(R"({"fail_tasks": true})");
    REQUIRE(control.start(taskStart("t2", "never")));
    CHECK(control.tasks()->front().state == TaskState::Failed);
}

TEST_CASE("worker control reports why a call failed")
{
    struct Case
    {
        std::string fault;
        core::ResultCode code;
        int starts;
    };
    const auto c = GENERATE(values<Case>({
        {R"({"refuse": 1})", core::ResultCode::PlatformError, 0},
        {R"({"lose": 1})", core::ResultCode::ConnectionLost, 1},
        {R"({"stall": 1})", core::ResultCode::Timeout, 1},
        {R"({"shorten": 1})", core::ResultCode::PlatformError, 1},
    }));
    CAPTURE(c.fault);
    test::TestServer<standin::WorkerRole> worker(absl::ZeroDuration());
    http::ClientPool pool({});
    platform::HttpWorkerControl control(
        pool, worker.server.endpoint(),
        c.code == core::ResultCode::Timeout ? absl::Milliseconds(300) : absl::Seconds(10));
    worker.fault(c.fault);
    CHECK_FALSE(control.start(taskStart("t1", "never")));
    CHECK(core::lastReason().code == c.code);
    CHECK(worker.role.starts("t1") == c.starts);
}

TEST_CASE("simulated tasks follow their command")
{
    struct Case
    {
        std::string command;
        double seconds;
        TaskState state;
        std::int64_t memoryMb;
    };
    const auto c = GENERATE(values<Case>({
        {"run 5", 4.9, TaskState::Running, 1000},
        {"run 5", 5, TaskState::Succeeded, 1000},
        {"fail 3", 2.9, TaskState::Running, 1000},
        {"fail 3", 3, TaskState::Failed, 1000},
        {"run 5 fail 7", 8, TaskState::Succeeded, 1000},
        {"grow 4000", 1, TaskState::Running, 2000},
        {"grow 4000 run 9", 4, TaskState::Running, 4000},
        {"never", 59, TaskState::Running, 1000},
        {"never", 60, TaskState::Stopped, 1000},
        {"run 100", 70, TaskState::Stopped, 1000},
        {"dance 3", 1, TaskState::Failed, 0},
        {"run", 1, TaskState::Failed, 0},
        {"", 1, TaskState::Failed, 0},
    }));
    CAPTURE(c.command, c.seconds);
    standin::SimulatedTask task(taskStart("t", c.command), Start, false);
    task.advance(at(c.seconds));
    CHECK(task.status(absl::ZeroDuration()).state == c.state);
    CHECK(task.status(absl::ZeroDuration()).used.memoryMb == c.memoryMb);
}

TEST_CASE("simulated tasks checkpoint, resume and slow down when throttled")
{
    standin::SimulatedTask task(taskStart("t", "run 10 checkpoint 2"), Start, false);
    task.advance(at(3));
    task.checkpoint(at(3));
    task.advance(at(4));
    CHECK(task.status({}).state == TaskState::Checkpointing);
    CHECK(task.status({}).checkpoint.empty());
    task.advance(at(6));
    const std::string checkpoint = task.status({}).checkpoint;
    CHECK(task.status({}).state == TaskState::Running);
    CHECK_FALSE(checkpoint.empty());

    // The checkpoint was taken after five of ten seconds of work.
    platform::TaskStart resumedStart = taskStart("t2", "run 10 checkpoint 2");
    resumedStart.checkpoint = checkpoint;
    standin::SimulatedTask resumed(resumedStart, Start, false);
    resumed.advance(at(1));
    resumed.throttle(0.5);
    resumed.advance(at(8.9));
    CHECK(resumed.running());
    resumed.advance(at(9));
    CHECK(resumed.status({}).state == TaskState::Succeeded);

    standin::SimulatedTask without(taskStart("t3", "run 10"), Start, false);
    without.checkpoint(at(1));
    CHECK(without.status({}).state == TaskState::Running);
}

TEST_CASE("leases are renewed and usage is reported with a delay")
{
    standin::SimulatedTask task(taskStart("t", "never"), Start, false);
    task.advance(at(50));
    task.renew(at(110));
    task.advance(at(100));
    CHECK(task.running());
    task.advance(at(111));
    CHECK(task.status({}).state == TaskState::Stopped);
    CHECK(task.endedAt() == at(110));

    standin::SimulatedTask fresh(taskStart("t2", "never"), Start, false);
    fresh.advance(at(1));
    CHECK(fresh.status(absl::Seconds(2)).used == core::Resources());
    fresh.advance(at(3));
    CHECK(fresh.status(absl::Seconds(2)).used == core::Resources{2, 4, 1000});
}
