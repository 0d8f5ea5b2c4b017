#include <oleandercross/core/resultcode.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace oleandercross::core;

TEST_CASE("result codes map to HTTP and exit statuses")
{
    struct Row
    {
        ResultCode code;
        int http;
        int exit;
        bool notRun;
    };
    const auto row = GENERATE(
        Row{ResultCode::Ok, 200, 0, false}, Row{ResultCode::ConfigConflict, 409, 7, false},
        Row{ResultCode::Unauthorized, 401, 2, false}, Row{ResultCode::QueueFull, 429, 3, true},
        Row{ResultCode::StoreUnavailable, 503, 3, true},
        Row{ResultCode::OutcomeUnknown, 504, 4, false}, Row{ResultCode::Internal, 500, 5, false},
        Row{ResultCode::JobFailed, 200, 6, false});
    CHECK(httpStatus(row.code) == row.http);
    CHECK(exitStatus(row.code) == row.exit);
    CHECK(provablyNotRun(row.code) == row.notRun);
    CHECK(resultCodeFromNumber(static_cast<int>(row.code)) == row.code);
}

// Guards against codes that are undocumented or documented differently.
TEST_CASE("docs/RESULT_CODES.md lists exactly the result codes")
{
    std::ifstream file(SOURCE_DIR "/docs/RESULT_CODES.md");
    REQUIRE(file);
    std::multiset<std::string> documented;
    for (std::string line; std::getline(file, line);) {
        if (line.size() > 2 && line[0] == '|' && std::isdigit(line[2]))
            documented.insert(line);
    }
    std::multiset<std::string> actual;
    for (const ResultCodeInfo &info : resultCodes()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(info.code) << " | " << info.name << " | "
            << httpStatus(info.code) << " | " << exitStatus(info.code) << " | " << info.meaning
            << " |";
        actual.insert(row.str());
    }
    CHECK(documented == actual);
}

TEST_CASE("a failure sets the last reason of its thread")
{
    const auto failing = []() -> std::optional<int> {
        return fail(ResultCode::BadSize, "tasks must be positive");
    };
    CHECK_FALSE(failing().has_value());
    CHECK(lastReason() == Reason{ResultCode::BadSize, "tasks must be positive"});
}
