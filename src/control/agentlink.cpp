#include <oleandercross/control/agentlink.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <absl/time/clock.h>

#include <algorithm>
#include <map>

namespace oleandercross::control {

namespace {

// How long an agent may delay its response to a watch call while its state does not change.
constexpr absl::Duration WatchWait = absl::Milliseconds(700);
// Added to the wait of a watch call for the network and for an agent on a busy processor.
constexpr absl::Duration ResponseMargin = absl::Milliseconds(500);
constexpr absl::Duration OrderTimeout = absl::Milliseconds(1500);
constexpr absl::Duration RetryDelay = absl::Milliseconds(120);

} // namespace

std::vector<planning::Order> takeOrders(std::vector<planning::Order> &waiting)
{
    std::vector<planning::Order> taken;
    const auto take = [&](std::size_t limitOfJob) {
        std::map<std::string, std::size_t> takenOfJob;
        std::vector<planning::Order> left;
        for (planning::Order &order : waiting) {
            const bool fits =
                taken.size() < MaxOrdersPerCall && takenOfJob[order.run.task.job] < limitOfJob;
            takenOfJob[order.run.task.job] += fits ? 1 : 0;
            (fits ? taken : left).push_back(std::move(order));
        }
        waiting = std::move(left);
    };
    take(MaxOrdersOfJobPerCall);
    take(MaxOrdersPerCall);
    return taken;
}

AgentLink::AgentLink(std::string agent, http::Endpoint address, Term term, rpc::Client &client,
                     Callbacks callbacks)
    : m_agent(std::move(agent))
    , m_address(std::move(address))
    , m_client(client)
    , m_callbacks(std::move(callbacks))
    , m_term(term)
    , m_watchThread([this] { watchLoop(); })
    , m_orderThread([this] { orderLoop(); })
{ }

AgentLink::~AgentLink()
{
    stop();
    m_watchThread.join();
    m_orderThread.join();
}

void AgentLink::stop()
{
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
}

bool AgentLink::revoke(const std::string &workerIncarnation, core::Instant lastReport)
{
    absl::MutexLock lock(&m_mutex);
    if (m_reportedIncarnation == workerIncarnation && m_reportedAt > lastReport)
        return false;
    ++m_term.number;
    m_pending = {};
    m_acknowledge = false;
    m_workerUsable = false;
    m_permitUntilMs = 0;
    return true;
}

void AgentLink::rejectService(const std::string &service)
{
    absl::MutexLock lock(&m_mutex);
    if (std::find(m_rejectedServices.begin(), m_rejectedServices.end(), service)
        == m_rejectedServices.end())
        m_rejectedServices.push_back(service);
}

void AgentLink::clearRejectedServices()
{
    absl::MutexLock lock(&m_mutex);
    m_rejectedServices.clear();
}

Term AgentLink::term() const
{
    absl::MutexLock lock(&m_mutex);
    return m_term;
}

std::pair<std::string, core::Instant> AgentLink::lastReport() const
{
    absl::MutexLock lock(&m_mutex);
    return {m_reportedIncarnation, m_reportedAt};
}

core::Instant AgentLink::lastResponseTime() const
{
    absl::MutexLock lock(&m_mutex);
    return m_lastResponseTime;
}

bool AgentLink::hasWork() const
{
    return m_stopping || m_acknowledge || !m_pending.orders.empty();
}

void AgentLink::send(const std::string &workerIncarnation, std::vector<planning::Order> orders)
{
    absl::MutexLock lock(&m_mutex);
    if (m_pending.workerIncarnation != workerIncarnation) {
        m_pending = {};
        m_pending.workerIncarnation = workerIncarnation;
    }
    for (planning::Order &order : orders) {
        // Orders that are already pending are not added again.
        const bool waiting =
            std::any_of(m_pending.orders.begin(), m_pending.orders.end(), [&order](const auto &o) {
                return o.kind == order.kind && o.run == order.run;
            });
        if (!waiting)
            m_pending.orders.push_back(std::move(order));
    }
}

void AgentLink::acknowledge(const std::string &workerIncarnation, std::int64_t number)
{
    absl::MutexLock lock(&m_mutex);
    if (m_pending.workerIncarnation != workerIncarnation) {
        m_pending = {};
        m_pending.workerIncarnation = workerIncarnation;
    }
    if (number <= m_pending.acknowledged)
        return;
    m_pending.acknowledged = number;
    m_acknowledge = true;
}

void AgentLink::recordFailure(const char *call)
{
    const core::Reason &reason = core::lastReason();
    if (reason.code == core::ResultCode::StaleEpoch) {
        m_callbacks.onDeposed(m_agent);
        return;
    }
    absl::MutexLock lock(&m_mutex);
    if (!m_callFailed)
        telemetry::Event("agent_silent")
            .with("agent", m_agent)
            .with("call", call)
            .with("reason", reason.message);
    m_callFailed = true;
}

void AgentLink::watchLoop()
{
    WatchCall call;
    while (!m_stopping) {
        if (!watchOnce(call))
            absl::SleepFor(RetryDelay);
    }
}

std::int64_t AgentLink::permitUntilMs()
{
    if (m_workerUsable && m_callbacks.mayRenewPermit())
        m_permitUntilMs = m_agentClockMs + absl::ToInt64Milliseconds(RenewalPermit);
    return m_permitUntilMs;
}

void AgentLink::recordState(const AgentState &state)
{
    // The agent raises the term when it registers or loses a worker.
    if (state.term.epoch == m_term.epoch && state.term > m_term) {
        m_term = state.term;
        m_pending = {};
        m_acknowledge = false;
        m_permitUntilMs = 0;
    }
    m_agentClockMs = state.clockMs;
    m_lastResponseTime = state.receivedAt;
    m_workerUsable = state.worker && !state.workerLost && state.listed && state.term == m_term;
    if (state.worker) {
        m_reportedIncarnation = incarnationKey(m_agent, *state.worker);
        m_reportedAt = state.receivedAt;
    }
}

template <typename Call>
void AgentLink::addClosures(Call &call) const
{
    // Read before the set, so that the set is not older.
    const core::Instant until = m_callbacks.startsUntil();
    call.closed = *m_callbacks.closedDataCentres();
    if (until == absl::InfiniteFuture())
        return;
    absl::MutexLock lock(&m_mutex);
    // The agent read its clock before its answer arrived.
    call.startsUntilMs = m_agentClockMs == 0
        ? 0
        : m_agentClockMs + absl::ToInt64Milliseconds(until - m_lastResponseTime);
}

bool AgentLink::watchOnce(WatchCall &call)
{
    {
        absl::MutexLock lock(&m_mutex);
        if (m_stopping)
            return false;
        // The first call and calls after a failure return immediately, since the leader needs the
        // agent's clock and state.
        call.wait = m_agentClockMs == 0 || m_callFailed ? absl::ZeroDuration() : WatchWait;
        call.term = m_term;
        call.renewUntilMs = permitUntilMs();
        call.unknownServices = m_rejectedServices;
    }
    addClosures(call);
    const auto answer = m_client.call(m_address, "watch", addressedTo(m_agent, toJson(call)),
                                      call.wait + ResponseMargin);
    std::optional<AgentState> state;
    if (answer)
        state = agentStateFromJson(*answer);
    if (!state) {
        recordFailure("watch");
        return false;
    }
    bool stateChanged = state->version != call.since || state->incarnation != call.agentIncarnation;
    call.since = state->version;
    call.agentIncarnation = state->incarnation;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_callFailed)
            telemetry::Event("agent_answers").with("agent", m_agent);
        // The leader may have marked the worker as not accepting tasks since the failed call.
        stateChanged = stateChanged || m_callFailed;
        m_callFailed = false;
        state->receivedAt = m_clock.now();
        recordState(*state);
    }
    m_callbacks.onState(m_agent, *std::move(state), stateChanged);
    return true;
}

void AgentLink::repeatAcknowledgement(const OrderCall &call)
{
    if (call.acknowledged == 0)
        return;
    // An agent that does not answer must not be called without a pause.
    absl::SleepFor(RetryDelay);
    absl::MutexLock lock(&m_mutex);
    m_acknowledge = m_acknowledge || m_pending.workerIncarnation == call.workerIncarnation;
}

void AgentLink::dropStarts(OrderCall &call)
{
    std::vector<planning::Order> starts;
    std::vector<planning::Order> others;
    for (planning::Order &order : call.orders)
        (order.kind == planning::Order::Kind::Start ? starts : others).push_back(std::move(order));
    call.orders = std::move(others);
    if (starts.empty())
        return;
    telemetry::Event("starts_withheld")
        .with("agent", m_agent)
        .with("starts", static_cast<std::int64_t>(starts.size()));
    const std::vector<OrderResult> results(starts.size(), OrderResult::NotApplicable);
    m_callbacks.onResults(m_agent, call.workerIncarnation, std::move(starts), results);
}

void AgentLink::orderLoop()
{
    while (true) {
        OrderCall call;
        {
            absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(this, &AgentLink::hasWork));
            if (m_stopping)
                return;
            call.workerIncarnation = m_pending.workerIncarnation;
            call.acknowledged = m_pending.acknowledged;
            call.orders = takeOrders(m_pending.orders);
            m_acknowledge = false;
            call.term = m_term;
            call.renewUntilMs = permitUntilMs();
        }
        addClosures(call);
        if (!m_callbacks.mayOrderStarts())
            dropStarts(call);
        const core::Instant sentAt = m_clock.now();
        const auto answer =
            m_client.call(m_address, "orders", addressedTo(m_agent, toJson(call)), OrderTimeout);
        std::vector<OrderResult> results(call.orders.size(), OrderResult::Unanswered);
        if (!answer)
            recordFailure("orders");
        if (!answer && !call.orders.empty()) {
            telemetry::Event("orders_unanswered")
                .with("life", call.workerIncarnation)
                .with("orders", static_cast<std::int64_t>(call.orders.size()))
                .with("permit_until", call.renewUntilMs)
                .with("waited_ms", absl::ToInt64Milliseconds(m_clock.now() - sentAt));
        }
        for (std::size_t i = 0; answer && i < results.size(); ++i) {
            const Json::Value &rows = core::member(*answer, "results");
            if (rows.isArray() && i < rows.size())
                results[i] = orderResultFromJson(rows[static_cast<Json::ArrayIndex>(i)]);
        }
        if (!call.orders.empty())
            m_callbacks.onResults(m_agent, call.workerIncarnation, std::move(call.orders),
                                  std::move(results));
        if (!answer)
            repeatAcknowledgement(call);
    }
}

} // namespace oleandercross::control
