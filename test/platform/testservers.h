#pragma once

#include <oleandercross/core/json.h>
#include <oleandercross/platform/httpadapters.h>
#include <standin/faultserver.h>
#include <standin/minionrole.h>
#include <standin/tablerole.h>
#include <standin/workerrole.h>

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

namespace oleandercross::test {

// Serves a stand-in role on a free port of the loopback address.
template <typename Role>
class TestServer
{
public:
    template <typename... Args>
    explicit TestServer(Args &&...args)
        : role(std::forward<Args>(args)...)
        , server({"127.0.0.1", 0}, [this](const http::Request &r) { return role.handle(r); })
    {
        REQUIRE(server.start());
    }

    void fault(const std::string &json)
    {
        REQUIRE(server.faults().apply(core::parseJson(json).value_or(Json::Value())));
    }

    Role role;
    standin::FaultServer server;
};

// Polls until the condition holds, at most 10 s.
template <typename Condition>
bool eventually(const Condition &condition)
{
    for (int i = 0; i < 1000; ++i) {
        if (condition())
            return true;
        absl::SleepFor(absl::Milliseconds(10));
    }
    return false;
}

} // namespace oleandercross::test
