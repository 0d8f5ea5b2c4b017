#pragma once

#include <optional>
#include <string>

namespace oleandercross::platform {

// The platform's object store for large results and snapshots. Implementations are thread safe.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    // Stores an object whole, replacing an earlier one. Returns false with the last reason set.
    virtual bool put(const std::string &key, const std::string &bytes) = 0;

    // The whole object, or an inner empty optional if there is none. Fails with StoreUnavailable.
    virtual std::optional<std::optional<std::string>> fetch(const std::string &key) = 0;
};

} // namespace oleandercross::platform
