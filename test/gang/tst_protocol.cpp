#include "../../src/gang/watchgroups.h"

#include <oleandercross/gang/protocol.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace oleandercross;
using namespace oleandercross::gang;

TEST_CASE("task ids contain the task identity")
{
    const TaskIdentity identity{{core::JobId("brum/17"), 3}, 42, 1, 8, 0, 2};
    CHECK(formatTaskId(identity) == "brum/17/3/42/1/8/0/2");
    CHECK(parseTaskId(formatTaskId(identity)) == identity);
    const auto bad = GENERATE("", "x", "1/2/3/4/5/6", "/1/1/0/1/0/1", "j/1/1/1/1/0/1",
                              "j/1/1/0/1/0/x", "j/01/1/0/1/0/1", "j/1/1/0/0/0/1");
    CHECK_FALSE(parseTaskId(bad).has_value());
}

// Guards against members that no other member watches and against more polls than the traffic limit
// allows.
TEST_CASE("watch groups cover every member")
{
    for (int count = 1; count <= 64; ++count) {
        const WatchGroups groups(count);
        for (int member = 0; member < count; ++member) {
            const auto watched = groups.watchedBy(member);
            std::set<int> covered = {member};
            for (const int other : watched) {
                CHECK(other != member);
                for (int each = 0; each < count; ++each) {
                    if (groups.sameGroup(each, other))
                        covered.insert(each);
                }
            }
            CHECK(static_cast<int>(covered.size()) == count);
            CHECK(watched.size() <= 14);
        }
    }
}
