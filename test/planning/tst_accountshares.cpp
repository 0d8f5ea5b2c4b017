#include "plannerfixture.h"

#include <oleandercross/planning/accountshares.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace oleandercross;
using namespace oleandercross::planning;
using namespace oleandercross::planning::testing;

namespace {

const core::Instant Start = absl::FromUnixSeconds(1780000000);
const ShareKey Greedy{1, "greedy"};
const ShareKey Modest{1, "modest"};

ShareDemands demands(double greedyCores, double modestCores, absl::Duration wait)
{
    return {{Greedy, {greedyCores, 10, wait}}, {Modest, {modestCores, 300, wait}}};
}

// Five accounts that together submit 1.36 times what a service of four workers can do. The first
// has more than half of the demand. The jobs of the last two have longer tasks and more slack, so
// that they are worth less for each core second.
class ContendedService
{
public:
    // Returns the fraction of its demand that each account has got after a minute.
    std::vector<double> run()
    {
        for (int tick = 0; tick < TicksPerSecond * 60; ++tick) {
            if (tick % TicksPerSecond == 0)
                submit(tick / TicksPerSecond);
            endRuns();
            for (const Order &order : m_fixture.planStarts()) {
                m_fixture.planner.startConfirmed(order.worker, order.run, m_fixture.now);
                m_runs.push_back({m_fixture.now, order});
            }
            m_fixture.advanceTime(absl::Seconds(1) / TicksPerSecond);
        }
        std::vector<double> shares;
        for (std::size_t i = 0; i < AccountCount; ++i)
            shares.push_back(m_had[i] / m_demanded[i]);
        return shares;
    }

    static double median(std::vector<double> shares)
    {
        std::sort(shares.begin(), shares.end());
        return shares[shares.size() / 2];
    }

private:
    struct Run
    {
        core::Instant begin;
        Order order;
    };

    static constexpr int TicksPerSecond = 10;
    static constexpr std::size_t AccountCount = 5;

    static int accountOf(const std::string &job) { return job.front() - '0'; }
    static bool hasLongTasks(int account) { return account >= 3; }
    static absl::Duration timeOf(int account)
    {
        return hasLongTasks(account) ? absl::Milliseconds(2400) : absl::Seconds(1);
    }
    static double acceleratorSeconds(int account, int tasks)
    {
        return absl::ToDoubleSeconds(timeOf(account)) * tasks;
    }

    void submit(int second)
    {
        for (std::size_t i = 0; i < AccountCount; ++i) {
            const int account = static_cast<int>(i);
            // The first account submits 24 accelerator seconds a second, the others about 5 each.
            const int jobs = account == 0 ? 6 : 1;
            const int tasks = account == 0 ? 4 : hasLongTasks(account) ? 2 : 5;
            for (int n = 0; n < jobs; ++n) {
                workload::Job job =
                    PlannerFixture::job(std::to_string(account) + "-" + std::to_string(second) + "-"
                                            + std::to_string(n),
                                        1, tasks, 1, false);
                job.account = "account-" + std::to_string(account);
                job.queue = "queue-" + std::to_string(account);
                job.steps.front().estimateMs = absl::ToInt64Milliseconds(timeOf(account));
                job.terms.targetMs = hasLongTasks(account) ? 20000 : 0;
                m_demanded[i] += acceleratorSeconds(account, tasks);
                m_fixture.planner.addJob(job, m_fixture.now);
            }
        }
    }

    void endRuns()
    {
        for (auto it = m_runs.begin(); it != m_runs.end();) {
            const int account = accountOf(it->order.run.task.job);
            if (m_fixture.now - it->begin < timeOf(account)) {
                ++it;
                continue;
            }
            m_had[static_cast<std::size_t>(account)] += acceleratorSeconds(account, 1);
            m_fixture.end(it->order, RunEnd::Completed);
            it = m_runs.erase(it);
        }
    }

    PlannerFixture m_fixture{4};
    std::deque<Run> m_runs;
    std::vector<double> m_had = std::vector<double>(AccountCount);
    std::vector<double> m_demanded = std::vector<double>(AccountCount);
};

} // namespace

TEST_CASE("the account that has had less of its demand goes first under contention", "[planning]")
{
    AccountShares shares;
    for (int i = 0; i <= 10; ++i)
        shares.update(demands(40, 4, absl::Seconds(1)), Start + absl::Seconds(i));
    CHECK(shares.factor(Greedy) < 1);
    CHECK(shares.factor(Greedy) >= 0.5);
    CHECK(shares.factor(Modest) > 1);
    CHECK(shares.factor(Modest) <= 2);
    // Another priority and an account without waiting work are not affected.
    CHECK(shares.factor({2, "greedy"}) == 1);
    CHECK(shares.factor({1, "other"}) == 1);
    // What was had long ago does not count.
    shares.update(demands(0, 0, absl::Seconds(1)), Start + absl::Seconds(10));
    shares.update(demands(0, 0, absl::Seconds(1)), Start + absl::Minutes(10));
    CHECK(shares.factor(Greedy) == 1);
    CHECK(shares.factor(Modest) == 1);
}

// Guards against a loss of value by a change of the order where no account is at a disadvantage.
TEST_CASE("accounts with similar shares keep the order by value", "[planning]")
{
    AccountShares shares;
    for (int i = 0; i <= 10; ++i)
        shares.update(
            {{Greedy, {20, 100, absl::Seconds(1)}}, {Modest, {18, 110, absl::Seconds(1)}}},
            Start + absl::Seconds(i));
    CHECK(shares.factor(Greedy) == 1);
    CHECK(shares.factor(Modest) == 1);
}

// Guards against another order of jobs in deployments that have enough capacity.
TEST_CASE("the order of accounts does not change without long waits", "[planning]")
{
    AccountShares shares;
    for (int i = 0; i <= 10; ++i)
        shares.update(demands(40, 4, absl::Milliseconds(500)), Start + absl::Seconds(i));
    CHECK(shares.factor(Greedy) == 1);
    CHECK(shares.factor(Modest) == 1);
}

TEST_CASE("restored account shares give the same factors", "[planning]")
{
    AccountShares before;
    for (int i = 0; i <= 10; ++i)
        before.update(demands(40, 4, absl::Seconds(1)), Start + absl::Seconds(i));
    const core::Instant now = Start + absl::Seconds(10);
    AccountShares after;
    REQUIRE(after.restore(before.encode(now, MaxLearnedRowBytes), now));
    before.update(demands(40, 4, absl::Seconds(1)), now);
    after.update(demands(40, 4, absl::Seconds(1)), now);
    CHECK(after.factor(Greedy) == Approx(before.factor(Greedy)));
    CHECK(after.factor(Modest) == Approx(before.factor(Modest)));
}

// Guards against one account whose short tasks always go first while the tasks of others expire.
TEST_CASE("an account with most of the demand does not push the others aside", "[planning]")
{
    const std::vector<double> shares = ContendedService().run();
    CAPTURE(shares);
    for (const double share : shares)
        CHECK(share >= 0.6 * ContendedService::median(shares));
}
