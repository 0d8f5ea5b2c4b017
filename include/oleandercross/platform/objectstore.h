#pragma once

#include <optional>
#include <string>

namespace oleandercross::platform {

// Interface to the platform's object store, which holds large results and snapshots.
// Implementations are thread-safe.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Stores a complete object, replacing an existing one. Returns false with the last reason set
    // on failure.
    virtual bool put(const std::string &key, const std::string &bytes) = 0;

    // Returns the complete object, or an empty inner optional if it does not exist. Fails with
    // StoreUnavailable.
    virtual std::optional<std::optional<std::string>> fetch(const std::string &key) = 0;
};

} // namespace oleandercross::platform
