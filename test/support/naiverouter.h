#pragma once

#include <oleandercross/dispatch/dispatcher.h>

#include <deque>
#include <map>

namespace oleandercross::test {

// Baseline router for tests and benchmarks: one unbounded FIFO queue per service, dispatch to the
// first target with a free slot, no request classes, no limits and no load shedding. Has the events
// and actions of dispatch::Dispatcher, but doesn't query the fate of a lost attempt: its outcome is
// unknown.
class NaiveRouter
{
public:
    using Actions = std::vector<dispatch::Action>;

    explicit NaiveRouter(core::EntryId entry)
        : m_entry(std::move(entry))
    { }

    Actions apply(const dispatch::Event &event, core::Instant now)
    {
        m_now = now;
        std::visit([this](const auto &e) { on(e); }, event);
        sendWaiting();
        return std::exchange(m_actions, {});
    }

private:
    struct Request
    {
        dispatch::RequestArrived arrival;
        bool sent = false;
        int attempt = 0;
        dispatch::TargetId target;
    };

    struct Target
    {
        dispatch::TargetAnnounced announcement;
        int inFlight = 0;
        // Has refused a request as busy; not used again until the next tick.
        bool busy = false;
    };

    void on(const dispatch::RequestArrived &event)
    {
        m_requests[event.id].arrival = event;
        m_queues[event.service].push_back(event.id);
    }

    void on(const dispatch::RequestCancelled &event)
    {
        const auto it = m_requests.find(event.id);
        if (it != m_requests.end() && !it->second.sent)
            finish(event.id, dispatch::OutcomeKind::NotRun, core::ResultCode::Cancelled);
    }

    void on(const dispatch::TargetAnnounced &event)
    {
        m_targets[event.target].announcement = event;
    }
    void on(const dispatch::TargetRemoved &event) { m_targets.erase(event.target); }

    void on(const dispatch::DispatchAnswered &event)
    {
        release(event.id, event.attempt);
        const auto code =
            event.answer.succeeded ? core::ResultCode::Ok : core::ResultCode::MinionFailed;
        if (isCurrent(event.id, event.attempt))
            finish(event.id, dispatch::OutcomeKind::Answered, code, event.answer);
    }

    void on(const dispatch::DispatchRefused &event)
    {
        const dispatch::TargetId target = release(event.id, event.attempt);
        if (!isCurrent(event.id, event.attempt))
            return;
        if (event.code != core::ResultCode::TargetBusy) {
            finish(event.id, dispatch::OutcomeKind::NotRun, event.code);
            return;
        }
        if (m_targets.count(target) > 0)
            m_targets[target].busy = true;
        Request &request = m_requests[event.id];
        request.sent = false;
        m_queues[request.arrival.service].push_front(event.id);
    }

    void on(const dispatch::DispatchUnknown &event)
    {
        release(event.id, event.attempt);
        if (isCurrent(event.id, event.attempt))
            finish(event.id, dispatch::OutcomeKind::Unknown, core::ResultCode::OutcomeUnknown);
    }

    void on(const dispatch::FateReceived &) { }
    void on(const dispatch::LimitsChanged &) { }
    void on(const dispatch::SlotsGranted &) { }

    void on(const dispatch::Tick &)
    {
        for (auto &[id, target] : m_targets)
            target.busy = false;
        std::vector<core::RequestId> expired;
        for (const auto &[id, request] : m_requests) {
            if (m_now >= request.arrival.deadline)
                expired.push_back(id);
        }
        for (const core::RequestId &id : expired) {
            if (m_requests[id].sent)
                finish(id, dispatch::OutcomeKind::Unknown, core::ResultCode::OutcomeUnknown);
            else
                finish(id, dispatch::OutcomeKind::NotRun, core::ResultCode::DeadlineExpired);
        }
    }

    bool isCurrent(const core::RequestId &id, int attempt) const
    {
        const auto it = m_requests.find(id);
        return it != m_requests.end() && it->second.sent && it->second.attempt == attempt;
    }

    dispatch::TargetId release(const core::RequestId &id, int attempt)
    {
        const auto it = m_targetOfAttempt.find({id, attempt});
        if (it == m_targetOfAttempt.end())
            return {};
        const dispatch::TargetId target = it->second;
        m_targetOfAttempt.erase(it);
        if (m_targets.count(target) > 0)
            --m_targets[target].inFlight;
        return target;
    }

    void sendWaiting()
    {
        for (auto &[service, queue] : m_queues) {
            while (!queue.empty()) {
                Target *target = freeTarget(service);
                if (!target)
                    break;
                send(m_requests[queue.front()], *target);
                queue.pop_front();
            }
        }
    }

    Target *freeTarget(const core::ServiceId &service)
    {
        for (auto &[id, target] : m_targets) {
            if (target.announcement.service == service && !target.announcement.draining
                && !target.busy && target.inFlight < target.announcement.slots)
                return &target;
        }
        return nullptr;
    }

    void send(Request &request, Target &target)
    {
        ++target.inFlight;
        request.sent = true;
        ++request.attempt;
        request.target = target.announcement.target;
        m_targetOfAttempt[{request.arrival.id, request.attempt}] = request.target;
        dispatch::DispatchMessage message;
        message.id = request.arrival.id;
        message.attempt = request.attempt;
        message.entry = m_entry;
        message.account = request.arrival.account;
        message.service = request.arrival.service;
        message.target = request.target;
        message.timeLeft = request.arrival.deadline - m_now;
        message.idempotent = request.arrival.idempotent;
        message.agentUptime = target.announcement.agentUptime;
        m_actions.push_back(dispatch::DispatchRequest{std::move(message)});
    }

    void finish(const core::RequestId &id, dispatch::OutcomeKind kind, core::ResultCode code,
                const dispatch::Answer &answer = {})
    {
        m_actions.push_back(dispatch::FinishRequest{id, {kind, code, answer, {}}});
        const Request &request = m_requests[id];
        if (!request.sent)
            std::erase(m_queues[request.arrival.service], id);
        m_requests.erase(id);
    }

    core::EntryId m_entry;
    core::Instant m_now;
    Actions m_actions;
    std::map<core::RequestId, Request> m_requests;
    std::map<dispatch::TargetId, Target> m_targets;
    std::map<core::ServiceId, std::deque<core::RequestId>> m_queues;
    std::map<std::pair<core::RequestId, int>, dispatch::TargetId> m_targetOfAttempt;
};

} // namespace oleandercross::test
