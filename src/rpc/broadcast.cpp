#include <oleandercross/rpc/broadcast.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace oleandercross::rpc {

namespace {

constexpr std::size_t MaxParallelCalls = 16;

} // namespace

int broadcast(Client &client, const std::vector<http::Endpoint> &endpoints,
              const std::string &method, const Json::Value &params, absl::Duration timeout,
              const AnswerHandler &onAnswer)
{
    std::atomic<std::size_t> next = 0;
    std::atomic<int> answered = 0;
    const auto callRemaining = [&] {
        for (std::size_t i = next++; i < endpoints.size(); i = next++) {
            const auto answer = client.call(endpoints[i], method, params, timeout);
            if (!answer)
                continue;
            ++answered;
            if (onAnswer)
                onAnswer(*answer);
        }
    };
    // The calling thread makes calls as well.
    std::vector<std::thread> helpers;
    for (std::size_t i = 1; i < std::min(endpoints.size(), MaxParallelCalls); ++i)
        helpers.emplace_back(callRemaining);
    callRemaining();
    for (std::thread &helper : helpers)
        helper.join();
    return answered;
}

} // namespace oleandercross::rpc
