#pragma once

#include <oleandercross/rpc/rpc.h>

#include <functional>
#include <vector>

namespace oleandercross::rpc {

// Receives the answer of one process. Called from several threads at the same time.
using AnswerHandler = std::function<void(const Json::Value &answer)>;

// Calls a method of several processes and waits for all of them. The calls run in parallel, up to
// 16 at a time, so that processes that do not answer hardly delay the calls to the others. Returns
// the number of processes that answered. The handler may be empty.
int broadcast(Client &client, const std::vector<http::Endpoint> &endpoints,
              const std::string &method, const Json::Value &params, absl::Duration timeout,
              const AnswerHandler &onAnswer = {});

} // namespace oleandercross::rpc
