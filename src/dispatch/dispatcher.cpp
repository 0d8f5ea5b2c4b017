#include <oleandercross/dispatch/dispatcher.h>

#include <absl/container/btree_map.h>

#include <deque>

namespace oleandercross::dispatch {

namespace {

using core::ResultCode;

enum class Phase { Waiting, Sent, Asking };

struct Request
{
    RequestArrived arrival;
    Phase phase = Phase::Waiting;
    int attempt = 0;
    TargetId target;
    absl::Duration agentUptime;
    core::Instant nextQuestion;
};

struct Target
{
    TargetAnnounced info;
    int inFlight = 0;
};

constexpr absl::Duration FatePollPeriod = absl::Milliseconds(50);

} // namespace

// First come, first served; the first target with a free slot.
class Dispatcher::Private
{
public:
    explicit Private(DispatcherSettings settings)
        : m_settings(std::move(settings))
    { }

    std::vector<Action> apply(const Event &event, core::Instant now)
    {
        m_now = now;
        std::visit([this](const auto &e) { on(e); }, event);
        dispatchWaiting();
        return std::exchange(m_actions, {});
    }

    DispatcherStatus status() const
    {
        DispatcherStatus status = m_status;
        status.waiting = static_cast<int>(m_queue.size());
        status.inFlight = static_cast<int>(m_requests.size() - m_queue.size());
        status.targets = static_cast<int>(m_targets.size());
        return status;
    }

private:
    void on(const RequestArrived &event);
    void on(const RequestCancelled &event);
    void on(const TargetAnnounced &event) { m_targets[event.target].info = event; }
    void on(const TargetGone &event) { m_targets.erase(event.target); }
    void on(const DispatchAnswered &event);
    void on(const DispatchRefused &event);
    void on(const DispatchUnknown &event);
    void on(const FateLearned &event);
    void on(const LimitsChanged &) { }
    void on(const SlotsGranted &) { }
    void on(const Tick &);

    Request *current(const core::RequestId &id, int attempt);
    void dispatchWaiting();
    void send(Request &request, Target &target);
    void ask(Request &request);
    void leaveTarget(const Request &request);
    void finish(const core::RequestId &id, Outcome outcome);
    void answer(Request &request, const Answer &answer);
    void notRun(const core::RequestId &id, ResultCode code);
    void retryOrFinish(Request &request, ResultCode code);

    DispatcherSettings m_settings;
    DispatcherStatus m_status;
    core::Instant m_now;
    std::vector<Action> m_actions;
    absl::btree_map<core::RequestId, Request> m_requests;
    absl::btree_map<TargetId, Target> m_targets;
    std::deque<core::RequestId> m_queue;
};

void Dispatcher::Private::on(const RequestArrived &event)
{
    if (m_requests.contains(event.id))
        return;
    Request request;
    request.arrival = event;
    m_requests.emplace(event.id, request);
    m_queue.push_back(event.id);
}

void Dispatcher::Private::on(const RequestCancelled &event)
{
    const auto it = m_requests.find(event.id);
    if (it == m_requests.end())
        return;
    if (it->second.phase == Phase::Waiting)
        notRun(event.id, ResultCode::Cancelled);
    else
        m_actions.push_back(CancelAtTarget{event.id, it->second.attempt, it->second.target});
}

Request *Dispatcher::Private::current(const core::RequestId &id, int attempt)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.attempt != attempt
        || it->second.phase == Phase::Waiting)
        return nullptr;
    return &it->second;
}

void Dispatcher::Private::answer(Request &request, const Answer &answer)
{
    const ResultCode code = answer.succeeded ? ResultCode::Ok : ResultCode::MinionFailed;
    leaveTarget(request);
    finish(request.arrival.id, {OutcomeKind::Answered, code, answer, {}});
}

void Dispatcher::Private::on(const DispatchAnswered &event)
{
    if (Request *request = current(event.id, event.attempt))
        answer(*request, event.answer);
}

void Dispatcher::Private::on(const DispatchRefused &event)
{
    if (Request *request = current(event.id, event.attempt))
        retryOrFinish(*request, event.code);
}

void Dispatcher::Private::on(const DispatchUnknown &event)
{
    if (Request *request = current(event.id, event.attempt))
        ask(*request);
}

void Dispatcher::Private::on(const FateLearned &event)
{
    Request *request = current(event.id, event.attempt);
    if (!request)
        return;
    switch (event.report.fate) {
    case Fate::Answered:
        answer(*request, event.report.answer);
        break;
    case Fate::Refused:
    case Fate::NeverSeen:
        retryOrFinish(*request, ResultCode::Cancelled);
        break;
    case Fate::Unknown:
        leaveTarget(*request);
        finish(event.id, {OutcomeKind::Unknown, ResultCode::OutcomeUnknown, {}, {}});
        break;
    case Fate::Running:
    case Fate::Unreachable:
        request->nextQuestion = m_now + FatePollPeriod;
        break;
    }
}

void Dispatcher::Private::on(const Tick &)
{
    std::vector<core::RequestId> late;
    for (auto &[id, request] : m_requests) {
        if (m_now >= request.arrival.deadline)
            late.push_back(id);
        else if (request.phase == Phase::Asking && m_now >= request.nextQuestion)
            ask(request);
    }
    for (const core::RequestId &id : late) {
        Request &request = m_requests.at(id);
        if (request.phase == Phase::Waiting) {
            notRun(id, ResultCode::DeadlineExpired);
            continue;
        }
        leaveTarget(request);
        m_actions.push_back(CancelAtTarget{id, request.attempt, request.target});
        finish(id, {OutcomeKind::Unknown, ResultCode::OutcomeUnknown, {}, {}});
    }
}

void Dispatcher::Private::retryOrFinish(Request &request, ResultCode code)
{
    leaveTarget(request);
    const bool retryable = core::provablyNotRun(code) || code == ResultCode::ConnectionFailed;
    if (retryable && request.attempt < m_settings.maxAttempts
        && !request.arrival.pinToFirstTarget) {
        request.phase = Phase::Waiting;
        m_queue.push_back(request.arrival.id);
        return;
    }
    notRun(request.arrival.id, core::provablyNotRun(code) ? code : ResultCode::NoTarget);
}

void Dispatcher::Private::dispatchWaiting()
{
    std::deque<core::RequestId> remaining;
    for (const core::RequestId &id : m_queue) {
        Request &request = m_requests.at(id);
        bool sent = false;
        for (auto &[targetId, target] : m_targets) {
            if (target.info.service != request.arrival.service || target.info.draining
                || target.inFlight >= target.info.slots)
                continue;
            send(request, target);
            sent = true;
            break;
        }
        if (!sent)
            remaining.push_back(id);
    }
    m_queue = std::move(remaining);
}

void Dispatcher::Private::send(Request &request, Target &target)
{
    ++target.inFlight;
    ++m_status.dispatched;
    ++request.attempt;
    request.phase = Phase::Sent;
    request.target = target.info.target;
    request.agentUptime = target.info.agentUptime;
    DispatchMessage message;
    message.id = request.arrival.id;
    message.attempt = request.attempt;
    message.entry = m_settings.entry;
    message.account = request.arrival.account;
    message.service = request.arrival.service;
    message.target = request.target;
    message.timeLeft = request.arrival.deadline - m_now;
    message.idempotent = request.arrival.idempotent;
    message.agentUptime = request.agentUptime;
    m_actions.push_back(DispatchRequest{message});
}

void Dispatcher::Private::ask(Request &request)
{
    request.phase = Phase::Asking;
    request.nextQuestion = absl::InfiniteFuture();
    m_actions.push_back(
        AskFate{{request.arrival.id, request.target, request.agentUptime}, request.attempt});
}

void Dispatcher::Private::leaveTarget(const Request &request)
{
    const auto it = m_targets.find(request.target);
    if (it != m_targets.end())
        --it->second.inFlight;
}

void Dispatcher::Private::notRun(const core::RequestId &id, ResultCode code)
{
    finish(id, {OutcomeKind::NotRun, code, {}, {}});
}

void Dispatcher::Private::finish(const core::RequestId &id, Outcome outcome)
{
    m_actions.push_back(FinishRequest{id, std::move(outcome)});
    std::erase(m_queue, id);
    m_requests.erase(id);
}

Dispatcher::Dispatcher(DispatcherSettings settings, std::mt19937_64 generator)
    : d(std::make_unique<Private>(std::move(settings)))
{
    (void)generator;
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

std::vector<Action> Dispatcher::apply(const Event &event, core::Instant now)
{
    return d->apply(event, now);
}

DispatcherStatus Dispatcher::status() const
{
    return d->status();
}

} // namespace oleandercross::dispatch
