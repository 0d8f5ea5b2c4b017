#pragma once

#include "loopback.h"

#include <oleandercross/http/server.h>

#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

#include <atomic>

namespace oleandercross::control::testing {

// A peer that accepts calls of every method and answers none of them until it is released, like a
// machine that is suspended.
class SilentPeer
{
public:
    SilentPeer()
        : m_server(onLoopback(0))
    {
        m_server.route("POST", "/rpc", [this](const http::Request &) {
            ++m_calls;
            m_released.WaitForNotification();
            return http::Response{500, "{}"};
        });
        REQUIRE(m_server.start());
    }

    ~SilentPeer() { release(); }

    http::Endpoint address() const { return {"127.0.0.1", m_server.port()}; }
    int calls() const { return m_calls; }

    void release()
    {
        if (!m_released.HasBeenNotified())
            m_released.Notify();
    }

private:
    std::atomic<int> m_calls = 0;
    absl::Notification m_released;
    http::Server m_server;
};

} // namespace oleandercross::control::testing
