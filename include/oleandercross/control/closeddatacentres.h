#pragma once

#include <oleandercross/control/rowstore.h>
#include <oleandercross/control/tablefollower.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/telemetry/metrics.h>

#include <absl/synchronization/mutex.h>
#include <json/value.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace oleandercross::control {

// The data centres that are closed to new work, as the operator's table listed them at one version
// of the store.
struct ClosedDataCentres
{
    // The version of the store; -1 before the table has been read.
    std::int64_t version = -1;
    // The version of the row that closes a data centre, by the name of the data centre.
    std::map<std::string, std::int64_t> rows;

    bool contains(const std::string &name) const { return rows.contains(name); }
    std::set<std::string> names() const;

    friend bool operator==(const ClosedDataCentres &, const ClosedDataCentres &) = default;
};

Json::Value toJson(const ClosedDataCentres &closed);
// Fails with BadField.
std::optional<ClosedDataCentres> closedDataCentresFromJson(const Json::Value &value);

// Keeps the newest set of closed data centres that this process can learn from the store or from
// peers. The version never decreases. Each data centre that is closed or opened is logged once.
// Thread safe.
class ClosureReplica
{
public:
    // The rest of the key of a row that begins with `keyPrefix` is the name of a closed data
    // centre. With an empty prefix no row is read and the set stays empty.
    ClosureReplica(std::string keyPrefix, telemetry::Metrics &metrics);

    // Returns false if the deployment has no such rows.
    bool enabled() const { return !m_keyPrefix.empty(); }
    // Applies what a call to the store returned of the operator's table.
    void apply(const TableUpdate &update);
    // Adopts the set of a peer, which the store confirmed to the peer at `confirmedAt`.
    void adopt(const ClosedDataCentres &closed, core::Instant confirmedAt);

    std::shared_ptr<const ClosedDataCentres> current() const;
    // Returns the version of the store at which the set last differed from the one before it.
    std::int64_t changedVersion() const;
    // Returns the time at which the set was certainly the store's, or the infinite past if it has
    // not been read.
    core::Instant confirmedAt() const;

private:
    // Returns the data centre that the row closes, or nothing if it is another row or if the name
    // cannot be read; the latter is logged.
    std::optional<std::string> nameIn(const StoredRow &row) const;
    void replace(ClosedDataCentres next, core::Instant confirmedAt, const char *source)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const std::string m_keyPrefix;
    telemetry::Metrics &m_metrics;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const ClosedDataCentres> m_current ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_changedVersion ABSL_GUARDED_BY(m_mutex) = -1;
    core::Instant m_confirmedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

} // namespace oleandercross::control
