#pragma once

#include <oleandercross/dispatch/admission.h>
#include <oleandercross/dispatch/message.h>

#include <memory>

namespace oleandercross::dispatch {

struct RequestTableSettings
{
    // Ended requests are remembered for this long.
    absl::Duration retention = absl::Seconds(120);
    // Answers held; the oldest are dropped first, their ids stay.
    std::size_t maxAnswerBytes = 16 << 20;
    // Ended requests remembered; the oldest are forgotten first.
    std::size_t maxRecords = 200000;
};

// What the agent does with a received dispatch.
struct Receipt
{
    enum class Kind {
        // Call the minion, then finish().
        Start,
        // Reply "refused" with the code.
        Refused,
        // Reply with the answer held from an earlier copy of the message.
        Answered,
        // Reply "accepted, unknown": an earlier copy runs or its answer is gone.
        Unknown,
    };

    Kind kind = Kind::Refused;
    core::ResultCode code = core::ResultCode::Ok;
    Answer answer;

    friend bool operator==(const Receipt &, const Receipt &) = default;
};

// The requests that one agent has seen. Makes each id run at most once in this incarnation, however
// often its messages arrive: of a message that may be a copy of a forgotten one, it only says that
// the outcome is unknown. Pure and not thread safe; shares the lock of its Admission.
class RequestTable
{
public:
    RequestTable(RequestTableSettings settings, Admission &admission);
    ~RequestTable();
    RequestTable(const RequestTable &) = delete;
    RequestTable &operator=(const RequestTable &) = delete;

    Receipt receive(const DispatchMessage &message, core::Instant now);

    // The minion answered. Frees the slot and holds the answer.
    void finish(const core::RequestId &id, const Answer &answer, core::Instant now);
    // The minion was certainly not reached (a 3xx code or ConnectionFailed).
    void finishNotRun(const core::RequestId &id, core::ResultCode code, core::Instant now);
    // The minion may have run it and the answer is lost.
    void finishUnknown(const core::RequestId &id, core::Instant now);

    // What is known of an id. An id that was never seen is blocked from later admission. Reports
    // Unknown for another incarnation, and if the id is not known and records as old as the
    // dispatch may have been forgotten.
    FateReport fate(const FateQuery &query, core::Instant now);

    // Returns the minion to tell if the request runs, else an empty id. Blocks an id that has not
    // started; one that was never seen only if `agentUptime` (see FateQuery) shows that its records
    // cannot have been forgotten.
    core::MinionId cancel(const core::RequestId &id, core::Instant now,
                          absl::Duration agentUptime = absl::ZeroDuration());

    // Forgets records past the retention time. receive() does it too.
    void expire(core::Instant now);

    std::size_t records() const;
    std::size_t answerBytes() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace oleandercross::dispatch
