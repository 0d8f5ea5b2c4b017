#pragma once

#include <oleandercross/rpc/rpc.h>

#include <functional>
#include <vector>

namespace oleandercross::control {

// Receives the answer of one peer. Called from several threads at the same time.
using PeerAnswerHandler = std::function<void(const Json::Value &answer)>;

// Calls a method of several peers and waits for all of them. The calls run in parallel, up to 16 at
// a time, so that peers that do not answer hardly delay the calls to the others. Returns the number
// of peers that answered. The handler may be empty.
int callPeers(rpc::Client &client, const std::vector<http::Endpoint> &peers,
              const std::string &method, const Json::Value &params, absl::Duration timeout,
              const PeerAnswerHandler &onAnswer = {});

} // namespace oleandercross::control
