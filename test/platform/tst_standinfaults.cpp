#include <oleandercross/core/json.h>

#include <platform/testservers.h>

using namespace oleandercross;

// Guards against a fault intended for writes that affects the reads of another process.
TEST_CASE("faults with a path do not affect requests for other paths")
{
    standin::Faults faults;
    REQUIRE(faults.apply(*core::parseJson(R"({"path": "/write", "lose": 1})")));
    CHECK_FALSE(faults.next("/read").lose);
    CHECK(faults.next("/write").lose);
    CHECK_FALSE(faults.next("/write").lose);
    REQUIRE(faults.apply(*core::parseJson(R"({"clear": true, "lose": 1})")));
    CHECK(faults.next("/read").lose);
}

// Guards against duplicate executions under different request ids that the fault scripts miss.
TEST_CASE("a minion counts executions of one caller's request over all its ids")
{
    standin::MinionRole minion(8);
    for (const char *id : {"first", "second"}) {
        http::Request request;
        request.method = "POST";
        request.path = "/v1/execute";
        request.headers["x-request-id"] = id;
        request.body = R"({"echo": "same"})";
        CHECK(minion.handle(request).status == 200);
    }
    http::Request request;
    request.path = "/counts";
    const auto counts = core::parseJson(minion.handle(request).body);
    CHECK((*counts)["echoes"]["same"] == 2);
    CHECK((*counts)["executions"]["first"] == 1);
}
