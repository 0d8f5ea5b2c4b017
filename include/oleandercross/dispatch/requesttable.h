#pragma once

#include <oleandercross/dispatch/admission.h>
#include <oleandercross/dispatch/message.h>

#include <memory>

namespace oleandercross::dispatch {

struct RequestTableSettings
{
    // Records of ended requests are kept for this long.
    absl::Duration retention = absl::Seconds(120);
    // Total size of stored answers. The oldest answers are discarded first; their records are kept.
    std::size_t maxAnswerBytes = 16 << 20;
    // Maximum number of records; the oldest records of ended requests are evicted first.
    std::size_t maxRecords = 200000;
};

// How the agent must handle a received dispatch.
struct Receipt
{
    enum class Kind {
        // Call the minion, then call finish().
        Start,
        // Reply "refused" with the code.
        Refused,
        // Reply with the stored answer of an earlier copy of the message.
        Answered,
        // Reply "accepted, unknown": an earlier copy is running or its answer was discarded.
        Unknown,
    };

    Kind kind = Kind::Refused;
    core::ResultCode code = core::ResultCode::Ok;
    Answer answer;

    friend bool operator==(const Receipt &, const Receipt &) = default;
};

// Deduplicates the requests that one agent receives. Each id runs at most once in this incarnation,
// regardless of how often its messages arrive: for a message that may be a copy of one whose
// record was evicted, the table only reports that the outcome is unknown. Performs no I/O and is
// not thread-safe; must be protected by the same lock as its Admission.
class RequestTable
{
public:
    RequestTable(RequestTableSettings settings, Admission &admission);
    ~RequestTable();
    RequestTable(const RequestTable &) = delete;
    RequestTable &operator=(const RequestTable &) = delete;

    Receipt receive(const DispatchMessage &message, core::Instant now);

    // Records the minion's answer and releases the slot.
    void finish(const core::RequestId &id, const Answer &answer, core::Instant now);
    // Records that the minion provably did not run the request (a 3xx code or ConnectionFailed).
    void finishNotRun(const core::RequestId &id, core::ResultCode code, core::Instant now);
    // Records that the minion may have run the request and that its answer is lost.
    void finishUnknown(const core::RequestId &id, core::Instant now);

    // Returns the state of an id and blocks an id that has no record or was refused from later
    // admission. Returns Unknown for another incarnation, and for an id without a record if records
    // as old as the dispatch may have been evicted.
    FateReport fate(const FateQuery &query, core::Instant now);

    // Returns the minion to notify if the request is running, otherwise an empty id. Blocks an id
    // that has not started; an id without a record is blocked only if `agentUptime` (see FateQuery)
    // proves that its record cannot have been evicted.
    core::MinionId cancel(const core::RequestId &id, core::Instant now,
                          absl::Duration agentUptime = absl::ZeroDuration());

    // Evicts records that are older than the retention time. receive() does so as well.
    void expire(core::Instant now);

    std::size_t records() const;
    std::size_t answerBytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::dispatch
