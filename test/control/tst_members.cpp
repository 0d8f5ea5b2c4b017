#include <oleandercross/control/members.h>

#include <catch2/catch.hpp>

using namespace oleandercross;
using namespace oleandercross::control;

namespace {

Member agent(const std::string &name, const std::string &address)
{
    return {name, MemberRole::Agent, {address, 7000}, "incarnation of " + name};
}

StoredRow row(const Member &member, std::int64_t version)
{
    return {MemberTable, member.name, encodeMember(member), version};
}

Member self()
{
    return {"front", MemberRole::Entry, {"10.0.0.1", 7000}, "life"};
}

} // namespace

// Guards against a row of another writer that hides other members, takes the place of one, or ends
// or misdirects the processes that read it. The row is there when the table is read at the start,
// or arrives later.
TEST_CASE("a member row with an odd value leaves the other members in place")
{
    struct Case
    {
        const char *what;
        std::string name;
        std::string value;
    };
    const Case c = GENERATE(values<Case>({
        {"nothing", "x", ""},
        {"undecodable bytes", "x", "\xff\xfe\x01"},
        {"a number", "x", "7"},
        {"a list", "x", "[1]"},
        {"deeply nested", "x", std::string(100000, '[') + std::string(100000, ']')},
        {"a port of 16 bits and one", "x",
         R"({"role":"agent","address":"10.0.0.3:65536","incarnation":"i"})"},
        {"a negative port", "x", R"({"role":"agent","address":"10.0.0.3:-1","incarnation":"i"})"},
        {"no port", "x", R"({"role":"agent","address":"10.0.0.3","incarnation":"i"})"},
        {"an address that is a number", "x",
         R"({"role":"agent","address":7000,"incarnation":"i"})"},
        {"the unspecified address", "x",
         R"({"role":"agent","address":"0.0.0.0:7000","incarnation":"i"})"},
        {"an unknown role", "x", R"({"role":"judge","address":"10.0.0.3:7000","incarnation":"i"})"},
        {"another member's address and no incarnation", "x",
         R"({"role":"agent","address":"10.0.0.2:7000"})"},
        {"another member's address and a numeric incarnation", "x",
         R"({"role":"entry","address":"10.0.0.2:7000","incarnation":7})"},
        {"a share beyond 64 bits", "x",
         R"({"role":"entry","address":"10.0.0.3:7000","incarnation":"i","milliCores":1e30})"},
        {"a negative share", "x",
         R"({"role":"entry","address":"10.0.0.3:7000","incarnation":"i","milliCores":-1})"},
        {"an empty name", "", R"({"role":"agent","address":"10.0.0.3:7000","incarnation":"i"})"},
        {"a name that extends another one", "a/i",
         R"({"role":"agent","address":"10.0.0.3:7000","incarnation":"i"})"},
        {"a name with a line break", "a\n",
         R"({"role":"agent","address":"10.0.0.3:7000","incarnation":"i"})"},
        {"a name of undecodable bytes", "\xff",
         R"({"role":"agent","address":"10.0.0.3:7000","incarnation":"i"})"},
    }));
    const bool atStart = GENERATE(true, false);
    CAPTURE(c.what, atStart);
    const StoredRow odd{MemberTable, c.name, c.value, 2};
    const StoredRow first = row(agent("a", "10.0.0.2"), 1);
    const StoredRow last = row(agent("z", "10.0.0.4"), 3);
    Members members(self());
    if (atStart) {
        members.replaceAll({odd, first, last});
    } else {
        members.replaceAll({first});
        members.apply({odd, last});
    }
    const std::map<std::string, http::Endpoint> expected = {{"a", {"10.0.0.2", 7000}},
                                                            {"z", {"10.0.0.4", 7000}}};
    CHECK(members.agents() == expected);
    CHECK(members.peers().empty());
    CHECK(members.candidates().size() == 1);
}

// Guards against calls to the former user of an address.
TEST_CASE("an address belongs to the member that announced it last")
{
    Members members(self());
    members.replaceAll({row(agent("b", "10.0.0.2"), 2), row(agent("a", "10.0.0.2"), 1)});
    CHECK(members.agents() == std::map<std::string, http::Endpoint>{{"b", {"10.0.0.2", 7000}}});
    members.apply({row(agent("a", "10.0.0.2"), 3)});
    CHECK(members.agents() == std::map<std::string, http::Endpoint>{{"a", {"10.0.0.2", 7000}}});
}

// Guards against dropping a process that cannot reach the store, and against calling its former
// process, each time that the table is read again.
TEST_CASE("a member that announced itself directly is kept until the table has a later row of it")
{
    const Member former = agent("a", "10.0.0.2");
    const Member present = agent("a", "10.0.0.3");
    struct Case
    {
        const char *what;
        std::vector<StoredRow> table;
        std::map<std::string, http::Endpoint> agents;
    };
    const Case c = GENERATE_COPY(values<Case>({
        {"not in the table", {}, {{"a", present.address}}},
        {"the row of its former process", {row(former, 1)}, {{"a", present.address}}},
        {"a later row", {row(agent("a", "10.0.0.4"), 3)}, {{"a", {"10.0.0.4", 7000}}}},
        {"an earlier user of its address",
         {row(agent("z", "10.0.0.3"), 1)},
         {{"a", present.address}}},
        {"a later user of its address", {row(agent("z", "10.0.0.3"), 3)}, {{"z", present.address}}},
    }));
    const bool wholeTable = GENERATE(true, false);
    CAPTURE(c.what, wholeTable);
    Members members(self());
    members.replaceAll({row(former, 1), row(agent("gone", "10.0.0.9"), 2)});
    members.add(present);
    if (wholeTable) {
        members.replaceAll(c.table);
    } else {
        members.apply({{MemberTable, "gone", {}, 4, true}});
        members.apply(c.table);
    }
    CHECK(members.agents() == c.agents);
}
