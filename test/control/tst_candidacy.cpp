#include <oleandercross/control/candidacy.h>
#include <oleandercross/control/members.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace oleandercross;
using namespace oleandercross::control;

namespace {

std::vector<Candidate> entries(int count)
{
    std::vector<Candidate> candidates;
    for (int i = 0; i < count; ++i)
        candidates.push_back(
            {absl::StrCat("front-", 100 + i), i % 5 == 0 ? 500 : 120 + 10 * (i % 3)});
    return candidates;
}

struct Succession
{
    absl::Duration gap = absl::InfiniteDuration();
    int attempts = 0;
    int reads = 0;
    std::int64_t milliCores = 0;
};

// Plays the loss of a leader in virtual time: entries read the row, which is available from the
// start, and write it on the condition that it has the version that they read. Reads and writes
// take 10 ms each. Lost entries do nothing.
Succession playSuccession(const std::vector<Candidate> &candidates, const std::string &lostLeader,
                          std::size_t lostCandidates)
{
    constexpr absl::Duration StoreLatency = absl::Milliseconds(10);
    struct State
    {
        Candidate candidate;
        std::size_t rank = 0;
        Candidacy candidacy;
        absl::Duration nextRead;
        std::optional<absl::Duration> writesAt;
    };
    std::vector<State> states;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        State state;
        state.candidate = candidates[i];
        state.rank = candidateRank(candidates, candidates[i], lostLeader);
        // Entries are at different points of their period when the leader is lost.
        state.nextRead =
            Candidacy::readPeriod(state.rank) * std::fmod(0.618 * static_cast<double>(i), 1);
        if (candidates[i].name != lostLeader && state.rank >= lostCandidates)
            states.push_back(state);
    }
    Succession result;
    const core::Instant begin = absl::UnixEpoch();
    for (absl::Duration now; now < absl::Seconds(3); now += absl::Milliseconds(1)) {
        for (State &state : states) {
            if (state.writesAt && *state.writesAt == now) {
                ++result.attempts;
                if (result.gap == absl::InfiniteDuration()) {
                    result.gap = now + StoreLatency;
                    result.milliCores = state.candidate.milliCores;
                }
            }
            if (now < state.nextRead)
                continue;
            state.nextRead = now + StoreLatency + Candidacy::readPeriod(state.rank);
            ++result.reads;
            const bool available = now < result.gap;
            if (state.candidacy.shouldTake(available, 7, state.rank, begin + now))
                state.writesAt = now + StoreLatency;
        }
        if (now > result.gap + StoreLatency)
            break;
    }
    return result;
}

} // namespace

// Load pattern: the leader is lost and all other entries notice within one period. Guards against
// entries that take the leadership from each other or load the store while there is no leader, and
// against a long gap if the preferred entries are lost too.
TEST_CASE("few of many entries compete for the leadership")
{
    struct Row
    {
        int entries;
        std::size_t lostCandidates;
        absl::Duration maxGap;
        int maxAttempts;
    };
    const Row row = GENERATE(
        Row{3, 0, absl::Milliseconds(150), 3}, Row{13, 0, absl::Milliseconds(150), 3},
        Row{35, 0, absl::Milliseconds(150), 3}, Row{35, 5, absl::Milliseconds(500), 3},
        Row{200, 0, absl::Milliseconds(150), 3}, Row{200, 100, absl::Milliseconds(1200), 5});
    CAPTURE(row.entries, row.lostCandidates);
    const std::vector<Candidate> candidates = entries(row.entries);
    const Succession result =
        playSuccession(candidates, candidates.front().name, row.lostCandidates);
    CHECK(result.gap <= row.maxGap);
    CHECK(result.attempts >= 1);
    CHECK(result.attempts <= row.maxAttempts);
    if (row.lostCandidates == 0 && row.entries > 5)
        CHECK(result.milliCores == 500);
}

TEST_CASE("the rate at which the leader row is read grows slower than the number of entries")
{
    struct Row
    {
        std::size_t entries;
        double maxReadsPerSecond;
    };
    // A store that is 49 times slower still serves 326 reads a second.
    const Row row = GENERATE(Row{3, 40}, Row{35, 150}, Row{100, 300});
    double reads = 0;
    for (std::size_t rank = 0; rank < row.entries; ++rank)
        reads += 1 / absl::ToDoubleSeconds(Candidacy::readPeriod(rank));
    CHECK(reads <= row.maxReadsPerSecond);
}

TEST_CASE("candidates are ranked by processor share, then by name")
{
    const std::vector<Candidate> all{{"a", 120}, {"b", 500}, {"c", 500}, {"d", 0}};
    struct Row
    {
        Candidate self;
        const char *lostLeader;
        std::size_t rank;
    };
    const Row row =
        GENERATE(Row{{"b", 500}, "", 0}, Row{{"c", 500}, "", 1}, Row{{"c", 500}, "b", 0},
                 Row{{"a", 120}, "b", 1}, Row{{"d", 0}, "b", 2});
    CHECK(candidateRank(all, row.self, row.lostLeader) == row.rank);
}

TEST_CASE("a member's processor share is stored and optional")
{
    struct Row
    {
        std::int64_t milliCores;
    };
    const Row row = GENERATE(Row{0}, Row{250});
    const Member member{"e", MemberRole::Entry, {"10.0.0.1", 7000}, "i", row.milliCores};
    CHECK(decodeMember("e", encodeMember(member)) == member);
}
