#include <oleandercross/planning/workerspeeds.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace oleandercross;
using namespace oleandercross::planning;

namespace {

const core::Instant Start = absl::UnixEpoch() + absl::Hours(1);

// 24 workers of which each third takes 2.4 times as long as the others, and steps that run on them.
struct UnevenCluster
{
    static constexpr int WorkerCount = 24;
    static constexpr double SlowFactor = 2.4;

    static std::string name(int worker) { return "w" + std::to_string(worker); }
    static bool isSlow(int worker) { return worker % 3 == 2; }

    // Runs a step of single tasks with an estimate that is off by the given factor. Tasks differ by
    // the given spread, and each thirtieth takes seven times as long.
    void runTasks(int tasks, double estimateError, double spread)
    {
        const StepKey step{"j" + std::to_string(m_steps++), 0, 0};
        const double work = 5 * std::exp(m_normal(m_random) * 0.3);
        m_speeds.expect(step, absl::Seconds(work * estimateError), 0.2);
        for (int i = 0; i < tasks; ++i) {
            const int worker = static_cast<int>(m_random() % WorkerCount);
            double seconds = work * std::exp(m_normal(m_random) * spread);
            seconds *= isSlow(worker) ? SlowFactor : 1;
            seconds *= ++m_tasks % 30 == 0 ? 7 : 1;
            m_speeds.observe(step, i, {{name(worker)}, absl::Seconds(seconds), 1, Start});
        }
    }

    // Runs a gang with an accurate estimate at the pace of its slowest member.
    void runGang(const std::vector<int> &members)
    {
        const StepKey step{"g" + std::to_string(m_steps++), 0, 0};
        m_speeds.expect(step, absl::Seconds(4), 0.8);
        RunPace pace;
        bool slow = false;
        for (const int worker : members) {
            pace.workers.push_back(name(worker));
            slow = slow || isSlow(worker);
        }
        pace.duration = absl::Seconds(slow ? 4 * SlowFactor : 4);
        pace.observedAt = Start;
        m_speeds.observe(step, 0, pace);
    }

    // Returns how many workers with a confident speed are on the wrong side of the middle.
    int misjudged()
    {
        m_speeds.update(Start + absl::Seconds(1));
        int count = 0;
        for (int worker = 0; worker < WorkerCount; ++worker) {
            const double relative =
                m_speeds.speed(name(worker)) / m_speeds.speed(name(0)) * std::sqrt(SlowFactor);
            if (m_speeds.confidence(name(worker)) > 0.5 && (relative < 1) != isSlow(worker))
                ++count;
        }
        return count;
    }

    WorkerSpeeds m_speeds;
    std::mt19937 m_random{7};
    std::normal_distribution<double> m_normal;
    int m_steps = 0;
    int m_tasks = 0;
};

} // namespace

TEST_CASE("slow workers are told from long tasks and wrong estimates", "[planning]")
{
    struct Case
    {
        const char *description;
        double estimateError;
        double spread;
    };
    const Case c = GENERATE(values<Case>({{"equal tasks, good estimates", 1, 0.05},
                                          {"uneven tasks", 1, 0.3},
                                          {"estimates too small by 90%", 0.1, 0.3},
                                          {"estimates too large by 90%", 1.9, 0.3}}));
    CAPTURE(c.description);
    UnevenCluster cluster;
    for (int i = 0; i < 6; ++i)
        cluster.runTasks(40, c.estimateError, c.spread);
    CHECK(cluster.misjudged() == 0);
    CHECK(cluster.m_speeds.speed("w0") > 1.7 * cluster.m_speeds.speed("w2"));
}

// Guards against marking all members of a slow gang as slow.
TEST_CASE("a slow gang is attributed to its slowest member", "[planning]")
{
    UnevenCluster cluster;
    cluster.runGang({0, 1, 2});
    cluster.runGang({0, 1, 3});
    cluster.runGang({3, 4, 1});
    cluster.runGang({2, 4, 6});
    cluster.m_speeds.update(Start + absl::Seconds(1));
    const WorkerSpeeds &speeds = cluster.m_speeds;
    for (const char *fast : {"w0", "w1", "w3", "w4"}) {
        CAPTURE(fast);
        CHECK(speeds.speed(fast) > 1.4 * speeds.speed("w2"));
    }
}

TEST_CASE("a worker without observations has average speed and no confidence", "[planning]")
{
    WorkerSpeeds speeds;
    CHECK(speeds.speed("w") == 1);
    CHECK(speeds.confidence("w") == 0);
    speeds.expect({"j", 0, 0}, absl::Seconds(5), 1);
    speeds.observe({"j", 0, 0}, 0, {{"w"}, absl::ZeroDuration(), 1, Start});
    speeds.observe({"j", 0, 0}, 1, {{"w"}, absl::Seconds(5), 0, Start});
    speeds.update(Start);
    CHECK(speeds.speed("w") == 1);
    CHECK(speeds.confidence("w") == 0);
}

TEST_CASE("a worker that is slow for a while becomes normal again", "[planning]")
{
    WorkerSpeeds speeds;
    const auto observe = [&speeds](int job, absl::Duration duration, core::Instant at) {
        const StepKey step{"j" + std::to_string(job), 0, 0};
        speeds.expect(step, absl::Seconds(2), 1);
        speeds.observe(step, 0, {{"w"}, duration, 1, at});
    };
    for (int i = 0; i < 4; ++i)
        observe(i, absl::Seconds(6), Start);
    speeds.update(Start);
    CHECK(speeds.speed("w") < 0.6);
    for (int i = 4; i < 8; ++i)
        observe(i, absl::Seconds(2), Start + absl::Seconds(30));
    speeds.update(Start + absl::Seconds(30));
    CHECK(speeds.speed("w") > 0.75);
}

TEST_CASE("a worker that was removed and returns starts without observations", "[planning]")
{
    WorkerSpeeds speeds;
    speeds.expect({"j", 0, 0}, absl::Seconds(2), 1);
    speeds.observe({"j", 0, 0}, 0, {{"w"}, absl::Seconds(6), 1, Start});
    speeds.update(Start);
    REQUIRE(speeds.speed("w") < 0.9);
    speeds.removeWorker("w");
    speeds.update(Start + absl::Seconds(1));
    CHECK(speeds.speed("w") == 1);
}
