#include <oleandercross/core/executor.h>

#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

#include <atomic>

using namespace oleandercross::core;

// Guards against delayed tasks that are lost or run out of order.
TEST_CASE("tasks run in the order of their due times")
{
    Executor executor(1);
    std::vector<int> order;
    absl::Notification done;
    executor.after(absl::Milliseconds(40), [&] {
        order.push_back(2);
        done.Notify();
    });
    executor.after(absl::Milliseconds(10), [&] { order.push_back(1); });
    executor.post([&] { order.push_back(0); });
    done.WaitForNotification();
    CHECK(order == std::vector<int>{0, 1, 2});
}

// Guards against a stop that waits for or runs tasks that are not due.
TEST_CASE("stop drops pending tasks and ends periodic ones")
{
    std::atomic<int> runs = 0;
    std::atomic<bool> dropped = true;
    Executor executor(2);
    absl::Notification repeated;
    executor.every(absl::Milliseconds(1), [&] {
        if (++runs == 3)
            repeated.Notify();
    });
    executor.after(absl::Hours(1), [&] { dropped = false; });
    repeated.WaitForNotification();
    executor.stop();
    CHECK(dropped);
    CHECK(runs >= 3);
}

// Guards against due tasks that are not started although threads are idle.
TEST_CASE("due tasks run on all threads concurrently")
{
    constexpr int Threads = 4;
    Executor executor(Threads);
    absl::BlockingCounter started(Threads);
    absl::Notification all;
    executor.after(absl::Hours(1), [] {});
    for (int i = 0; i < Threads; ++i) {
        executor.after(absl::Milliseconds(i), [&] {
            started.DecrementCount();
            all.WaitForNotification();
        });
    }
    started.Wait();
    all.Notify();
    executor.stop();
    SUCCEED("every thread had a task");
}
