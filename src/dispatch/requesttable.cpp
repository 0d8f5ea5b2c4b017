#include <oleandercross/dispatch/requesttable.h>

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace oleandercross::dispatch {

namespace {

using core::RequestId;
using core::ResultCode;

enum class State { Running, Answered, Refused, Unknown };

struct Record
{
    State state = State::Running;
    int attempt = 0;
    // No further attempt may be admitted.
    bool blocked = false;
    // True while the answer is stored.
    bool hasAnswer = false;
    ResultCode code = ResultCode::Ok;
    Answer answer;
    core::MinionId minion;
    // Agent uptime at the latest change, which determines the order of eviction.
    absl::Duration changedAt;
};

struct Change
{
    absl::Duration at;
    RequestId id;
};

Receipt refusal(ResultCode code)
{
    return {Receipt::Kind::Refused, code, {}};
}

} // namespace

class RequestTable::Private
{
public:
    Private(RequestTableSettings settings, Admission &admission)
        : m_settings(settings)
        , m_admission(admission)
    { }

    Receipt receive(const DispatchMessage &message, core::Instant now);
    void endRequest(const RequestId &id, State state, ResultCode code, core::Instant now);
    void storeAnswer(const RequestId &id, const Answer &answer);
    FateReport fate(const FateQuery &query, core::Instant now);
    core::MinionId cancel(const RequestId &id, absl::Duration agentUptime, core::Instant now);
    void expire(core::Instant now);

    std::size_t records() const { return m_records.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    Receipt receiveCopy(Record &record, const DispatchMessage &message, core::Instant now);
    Receipt admit(Record &record, const DispatchMessage &message, core::Instant now);
    Record &recordChange(const RequestId &id, core::Instant now);
    bool evictOldest();
    void dropAnswer(Record &record);

    RequestTableSettings m_settings;
    Admission &m_admission;
    absl::flat_hash_map<RequestId, Record> m_records;
    // Ordered by time. An item is obsolete if its record has changed again.
    std::deque<Change> m_changes;
    std::deque<RequestId> m_answers;
    std::size_t m_answerBytes = 0;
    // Records whose latest change was at or before this uptime may have been evicted.
    absl::Duration m_evictedUpTo = -absl::InfiniteDuration();
};

Receipt RequestTable::Private::receive(const DispatchMessage &message, core::Instant now)
{
    expire(now);
    const auto it = m_records.find(message.id);
    if (it != m_records.end())
        return receiveCopy(it->second, message, now);
    if (message.agentUptime <= m_evictedUpTo)
        return {Receipt::Kind::Unknown, ResultCode::OutcomeUnknown, {}};
    return admit(m_records[message.id], message, now);
}

Receipt RequestTable::Private::receiveCopy(Record &record, const DispatchMessage &message,
                                           core::Instant now)
{
    switch (record.state) {
    case State::Running:
        return {Receipt::Kind::Unknown, ResultCode::StillRunning, {}};
    case State::Unknown:
        return {Receipt::Kind::Unknown, ResultCode::OutcomeUnknown, {}};
    case State::Answered:
        if (record.hasAnswer)
            return {Receipt::Kind::Answered, ResultCode::Ok, record.answer};
        return {Receipt::Kind::Unknown, ResultCode::AnswerNoLongerHeld, {}};
    case State::Refused:
        break;
    }
    if (record.blocked || message.attempt <= record.attempt)
        return refusal(record.code);
    return admit(record, message, now);
}

Receipt RequestTable::Private::admit(Record &record, const DispatchMessage &message,
                                     core::Instant now)
{
    const ResultCode code = m_admission.start(message, now);
    record.attempt = message.attempt;
    record.minion = message.target.minion;
    record.state = code == ResultCode::Ok ? State::Running : State::Refused;
    record.code = code;
    recordChange(message.id, now);
    if (code != ResultCode::Ok)
        return refusal(code);
    return {Receipt::Kind::Start, ResultCode::Ok, {}};
}

Record &RequestTable::Private::recordChange(const RequestId &id, core::Instant now)
{
    Record &record = m_records[id];
    record.changedAt = m_admission.uptime(now);
    m_changes.push_back({record.changedAt, id});
    return record;
}

void RequestTable::Private::endRequest(const RequestId &id, State state, ResultCode code,
                                       core::Instant now)
{
    const auto it = m_records.find(id);
    if (it == m_records.end() || it->second.state != State::Running)
        return;
    it->second.state = state;
    it->second.code = code;
    m_admission.release(id);
    recordChange(id, now);
}

void RequestTable::Private::storeAnswer(const RequestId &id, const Answer &answer)
{
    const auto it = m_records.find(id);
    if (it == m_records.end() || it->second.state != State::Answered || it->second.hasAnswer)
        return;
    it->second.answer = answer;
    it->second.hasAnswer = true;
    m_answerBytes += answer.body.size();
    m_answers.push_back(id);
    while (m_answerBytes > m_settings.maxAnswerBytes && !m_answers.empty()) {
        const auto oldest = m_records.find(m_answers.front());
        m_answers.pop_front();
        if (oldest != m_records.end())
            dropAnswer(oldest->second);
    }
}

void RequestTable::Private::dropAnswer(Record &record)
{
    if (!record.hasAnswer)
        return;
    m_answerBytes -= record.answer.body.size();
    record.answer = {};
    record.hasAnswer = false;
}

FateReport RequestTable::Private::fate(const FateQuery &query, core::Instant now)
{
    if (query.target.incarnation != m_admission.settings().incarnation)
        return {Fate::Unknown, ResultCode::OutcomeUnknown, {}};
    const auto it = m_records.find(query.id);
    if (it == m_records.end()) {
        if (query.agentUptime <= m_evictedUpTo)
            return {Fate::Unknown, ResultCode::OutcomeUnknown, {}};
        Record &record = recordChange(query.id, now);
        record.state = State::Refused;
        record.blocked = true;
        record.code = ResultCode::Cancelled;
        return {Fate::NeverSeen, ResultCode::Cancelled, {}};
    }
    Record &record = it->second;
    switch (record.state) {
    case State::Running:
        return {Fate::Running, ResultCode::StillRunning, {}};
    case State::Unknown:
        return {Fate::Unknown, ResultCode::OutcomeUnknown, {}};
    case State::Answered:
        if (record.hasAnswer)
            return {Fate::Answered, ResultCode::Ok, record.answer};
        return {Fate::Unknown, ResultCode::AnswerNoLongerHeld, {}};
    case State::Refused:
        break;
    }
    record.blocked = true;
    return {Fate::Refused, record.code, {}};
}

core::MinionId RequestTable::Private::cancel(const RequestId &id, absl::Duration agentUptime,
                                             core::Instant now)
{
    const auto it = m_records.find(id);
    if (it != m_records.end()) {
        it->second.blocked = true;
        return it->second.state == State::Running ? it->second.minion : core::MinionId();
    }
    // The request may have run, but a record created now would report that it did not.
    if (agentUptime <= m_evictedUpTo)
        return {};
    Record &record = recordChange(id, now);
    record.state = State::Refused;
    record.blocked = true;
    record.code = ResultCode::Cancelled;
    return {};
}

void RequestTable::Private::expire(core::Instant now)
{
    const absl::Duration oldest = m_admission.uptime(now) - m_settings.retention;
    while (!m_changes.empty() && m_changes.front().at < oldest)
        evictOldest();
    while (m_records.size() > m_settings.maxRecords && evictOldest()) { }
}

bool RequestTable::Private::evictOldest()
{
    if (m_changes.empty())
        return false;
    const Change change = std::move(m_changes.front());
    m_changes.pop_front();
    const auto it = m_records.find(change.id);
    // The record of a running request gets a new change when it ends.
    if (it == m_records.end() || it->second.changedAt != change.at
        || it->second.state == State::Running)
        return true;
    dropAnswer(it->second);
    m_records.erase(it);
    m_evictedUpTo = std::max(m_evictedUpTo, change.at);
    return true;
}

RequestTable::RequestTable(RequestTableSettings settings, Admission &admission)
    : d(std::make_unique<Private>(settings, admission))
{ }

RequestTable::~RequestTable() = default;

Receipt RequestTable::receive(const DispatchMessage &message, core::Instant now)
{
    return d->receive(message, now);
}

void RequestTable::finish(const core::RequestId &id, const Answer &answer, core::Instant now)
{
    d->endRequest(id, State::Answered, ResultCode::Ok, now);
    d->storeAnswer(id, answer);
}

void RequestTable::finishNotRun(const core::RequestId &id, ResultCode code, core::Instant now)
{
    d->endRequest(id, State::Refused, code, now);
}

void RequestTable::finishUnknown(const core::RequestId &id, core::Instant now)
{
    d->endRequest(id, State::Unknown, ResultCode::OutcomeUnknown, now);
}

FateReport RequestTable::fate(const FateQuery &query, core::Instant now)
{
    return d->fate(query, now);
}

core::MinionId RequestTable::cancel(const core::RequestId &id, core::Instant now,
                                    absl::Duration agentUptime)
{
    return d->cancel(id, agentUptime, now);
}

void RequestTable::expire(core::Instant now)
{
    d->expire(now);
}

std::size_t RequestTable::records() const
{
    return d->records();
}

std::size_t RequestTable::answerBytes() const
{
    return d->answerBytes();
}

} // namespace oleandercross::dispatch
