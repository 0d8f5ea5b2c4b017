#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace oleandercross::planning {

// What a planner has learned, as texts by the key of the row that stores each of them. See
// docs/design/learned-state.md.
using LearnedState = std::map<std::string, std::string>;

// The maximum size of each text in bytes.
inline constexpr std::size_t MaxLearnedRowBytes = 32768;
// The version of the format of the texts. Texts of other versions are ignored.
inline constexpr int LearnedFormat = 1;

// A text, or a part of one, that was ignored.
struct UnreadableLearnedState
{
    std::string key;
    std::string reason;

    friend bool operator==(const UnreadableLearnedState &,
                           const UnreadableLearnedState &) = default;
};

// Returns true for the key of a row of the learned state.
bool isLearnedKey(const std::string &key);

// Selects workers by key.
using WorkerFilter = std::function<bool(const std::string &worker)>;

} // namespace oleandercross::planning
