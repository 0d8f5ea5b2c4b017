#include <oleandercross/control/rowstore.h>

#include <absl/strings/str_format.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace oleandercross;
using namespace oleandercross::control;

namespace {

std::string jobId(std::mt19937_64 &random)
{
    return absl::StrFormat("%016x", random());
}

// The partitions of a store in virtual time. Each executes one transaction after another and
// refuses a transaction if more than a second of them is waiting.
class SerialPartitions
{
public:
    explicit SerialPartitions(absl::Duration executionTime)
        : m_executionTime(executionTime)
    { }

    // Returns the time until the response, or nothing if the transaction is refused.
    std::optional<absl::Duration> execute(const std::string &partition, absl::Duration now)
    {
        absl::Duration &busyUntil = m_busyUntil[partition];
        const absl::Duration waiting = std::max(absl::ZeroDuration(), busyUntil - now);
        if (waiting > absl::Seconds(1))
            return std::nullopt;
        busyUntil = now + waiting + m_executionTime;
        return busyUntil - now;
    }

private:
    const absl::Duration m_executionTime;
    std::map<std::string, absl::Duration> m_busyUntil;
};

struct Outcome
{
    int leaderCommits = 0;
    int leaderRefusals = 0;
    int submissions = 0;
    int submissionsRefused = 0;
    absl::Duration longestLeaderGap;
};

// Plays a slow store: the leader commits one transaction after another, callers submit jobs
// independently of each other, and restarted processes announce themselves.
template <typename Partition>
Outcome playSlowStore(absl::Duration executionTime, absl::Duration length,
                      double submissionsPerSecond, int announcements,
                      const Partition &partitionOfRow)
{
    std::mt19937_64 random(17);
    std::exponential_distribution<> untilNext(submissionsPerSecond);
    SerialPartitions store(executionTime);
    Outcome outcome;
    absl::Duration nextSubmission = absl::Seconds(untilNext(random));
    absl::Duration nextCommit;
    absl::Duration lastCommit;
    int announced = 0;
    constexpr absl::Duration AnnouncementInterval = absl::Milliseconds(50);
    constexpr absl::Duration RefusalPause = absl::Milliseconds(100);
    for (absl::Duration now; now < length; now += absl::Milliseconds(1)) {
        for (; announced < announcements && AnnouncementInterval * announced <= now; ++announced)
            store.execute(partitionOfRow(MemberTable, "side-" + std::to_string(announced)), now);
        for (; nextSubmission <= now; nextSubmission += absl::Seconds(untilNext(random))) {
            ++outcome.submissions;
            if (!store.execute(partitionOfRow(JobTable, jobId(random)), now))
                ++outcome.submissionsRefused;
        }
        if (nextCommit > now)
            continue;
        const auto response = store.execute(partitionOfRow(LeaderTable, LeaderKey), now);
        if (!response) {
            ++outcome.leaderRefusals;
            nextCommit = now + RefusalPause;
            continue;
        }
        ++outcome.leaderCommits;
        nextCommit = now + *response;
        outcome.longestLeaderGap = std::max(outcome.longestLeaderGap, nextCommit - lastCommit);
        lastCommit = nextCommit;
    }
    return outcome;
}

} // namespace

// Load pattern: a store that is many times slower, while jobs are submitted at the usual rate and
// processes restart. Guards against submissions and announcements that delay the leader's
// transactions until it counts as lost, and against refused submissions.
TEST_CASE("a slow store serves the leader beside independent writes")
{
    struct Row
    {
        const char *pattern;
        absl::Duration executionTime;
        double submissionsPerSecond;
        int announcements;
        // Whether the same load refuses calls if all rows are in one partition. If not, it only
        // delays the leader.
        bool overloadsOnePartition;
    };
    const Row row =
        GENERATE(Row{"49 times slower", absl::Milliseconds(147), 4.3, 0, false},
                 Row{"60 times slower, processes restart", absl::Milliseconds(180), 4.3, 40, true},
                 Row{"49 times slower, burst", absl::Milliseconds(147), 9, 40, true});
    INFO(row.pattern);
    const auto play = [&row](const auto &partitionOfRow) {
        return playSlowStore(row.executionTime, absl::Seconds(5.4), row.submissionsPerSecond,
                             row.announcements, partitionOfRow);
    };
    // A leader without a transaction for this long reports that it is not healthy.
    constexpr absl::Duration HealthTimeout = absl::Milliseconds(1200);

    const Outcome outcome =
        play([](const auto &table, const auto &key) { return partitionOf(table, key); });
    CHECK(outcome.leaderRefusals == 0);
    CHECK(outcome.submissionsRefused == 0);
    CHECK(outcome.longestLeaderGap < HealthTimeout);

    // The same load on a single partition does harm, so the model does show the overload.
    const Outcome single = play([](const auto &, const auto &) { return std::string(); });
    CHECK((single.submissionsRefused + single.leaderRefusals > 0) == row.overloadsOnePartition);
    CHECK(single.leaderCommits < outcome.leaderCommits);
}

TEST_CASE("rows of one transaction share a partition")
{
    struct Row
    {
        const char *firstTable;
        const char *firstKey;
        const char *secondTable;
        const char *secondKey;
        bool same;
    };
    const Row row =
        GENERATE(Row{LeaderTable, LeaderKey, ProgressTable, "0123456789abcdef", true},
                 Row{LeaderTable, LeaderKey, LearnedTable, "speeds-0", true},
                 Row{JobTable, "0123456789abcdef", JobTable, "0123456789abcdef/cancel", true},
                 Row{MemberTable, "front-1", MemberTable, "side-7", true},
                 Row{LeaderTable, LeaderKey, JobTable, "0123456789abcdef", false},
                 Row{LeaderTable, LeaderKey, MemberTable, "front-1", false});
    CHECK((partitionOf(row.firstTable, row.firstKey) == partitionOf(row.secondTable, row.secondKey))
          == row.same);
}

// Guards against a job row that a new leader does not read because it is in an unlisted partition.
TEST_CASE("every row is in one of the partitions of its table")
{
    const char *table = GENERATE(as<const char *>(), JobTable, ProgressTable, LeaderTable,
                                 MemberTable, LearnedTable, "op");
    const std::vector<std::string> partitions = partitionsOf(table);
    std::mt19937_64 random(5);
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i) {
        const std::string partition = partitionOf(table, jobId(random));
        REQUIRE(std::count(partitions.begin(), partitions.end(), partition) == 1);
        used.insert(partition);
    }
    CHECK(used.size() == partitions.size());
}
