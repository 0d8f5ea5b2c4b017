#pragma once

#include <oleandercross/control/rowstore.h>
#include <oleandercross/core/clock.h>
#include <oleandercross/planning/learnedstate.h>

#include <json/value.h>

#include <map>
#include <string>
#include <vector>

namespace oleandercross::control {

// Decides when and which rows of the learned table are written. They are stored in transactions
// that are written anyway, so that they cost no calls to the store.
class LearnedRows
{
public:
    // Takes the rows that an earlier leader has stored. Returns their texts; rows with other keys
    // and removed rows are left out.
    planning::LearnedState takeStored(const std::vector<StoredRow> &rows);

    // Returns true if enough time has passed since the last check for changes.
    bool due(core::Instant now) const { return now >= m_nextCheck; }

    // Returns the rows that are missing in the store or differ in a number by more than a tenth, or
    // in anything else. The next check is due after CheckPeriod.
    std::vector<StoredRow> changes(const planning::LearnedState &state, core::Instant now);

    // Records that the rows are in the store. The next check is due after their bytes at
    // MaxBytesPerSecond.
    void stored(const std::vector<StoredRow> &rows, core::Instant now);
    // Records that the store will never accept the rows. The next check is due after
    // RejectionPause.
    void rejected(core::Instant now) { m_nextCheck = now + RejectionPause; }

    static constexpr absl::Duration CheckPeriod = absl::Seconds(2);
    static constexpr absl::Duration RejectionPause = absl::Minutes(1);
    // A third of the traffic that a process may cause. The rows of 510 workers have about 40 KB as
    // sent, so that they are written every 5 s if all of them change.
    static constexpr double MaxBytesPerSecond = 8192;

private:
    void keep(const std::vector<StoredRow> &rows);

    // The contents of the rows in the store, as far as they are readable.
    std::map<std::string, Json::Value> m_stored;
    core::Instant m_nextCheck = absl::InfinitePast();
};

} // namespace oleandercross::control
