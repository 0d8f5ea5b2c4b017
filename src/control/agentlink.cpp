#include <oleandercross/control/agentlink.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/telemetry/eventlog.h>

#include <absl/time/clock.h>

#include <algorithm>

namespace oleandercross::control {

namespace {

// An agent answers a watch call at the latest after this time.
constexpr absl::Duration WatchWait = absl::Milliseconds(700);
// Beyond the wait: the way there and back, and an agent whose processor is busy.
constexpr absl::Duration AnswerTime = absl::Milliseconds(500);
constexpr absl::Duration OrderTimeout = absl::Milliseconds(1500);
constexpr absl::Duration PauseAfterFailure = absl::Milliseconds(120);

} // namespace

AgentLink::AgentLink(std::string agent, http::Endpoint address, std::int64_t epoch,
                     rpc::Client &client, Callbacks callbacks)
    : m_agent(std::move(agent))
    , m_address(std::move(address))
    , m_epoch(epoch)
    , m_client(client)
    , m_callbacks(std::move(callbacks))
    , m_watcher([this] { watchLoop(); })
    , m_orderer([this] { orderLoop(); })
{ }

AgentLink::~AgentLink()
{
    stop();
    m_watcher.join();
    m_orderer.join();
}

void AgentLink::stop()
{
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
}

core::Instant AgentLink::lastAnswer() const
{
    absl::MutexLock lock(&m_mutex);
    return m_lastAnswer;
}

bool AgentLink::hasOrders() const
{
    return m_stopping || m_acknowledge || !m_pending.orders.empty();
}

void AgentLink::send(const std::string &life, std::vector<planning::Order> orders)
{
    absl::MutexLock lock(&m_mutex);
    if (m_pending.life != life) {
        m_pending = {};
        m_pending.life = life;
    }
    for (planning::Order &order : orders) {
        // An order that is repeated before it was handed over adds nothing.
        const bool waiting =
            std::any_of(m_pending.orders.begin(), m_pending.orders.end(), [&order](const auto &o) {
                return o.kind == order.kind && o.run == order.run;
            });
        if (!waiting)
            m_pending.orders.push_back(std::move(order));
    }
}

void AgentLink::acknowledge(const std::string &life, std::int64_t number)
{
    absl::MutexLock lock(&m_mutex);
    if (m_pending.life != life) {
        m_pending = {};
        m_pending.life = life;
    }
    if (number <= m_pending.acknowledged)
        return;
    m_pending.acknowledged = number;
    m_acknowledge = true;
}

void AgentLink::noteFailure(const char *call)
{
    const core::Reason &reason = core::lastReason();
    if (reason.code == core::ResultCode::StaleEpoch) {
        m_callbacks.onDeposed(m_agent);
        return;
    }
    absl::MutexLock lock(&m_mutex);
    if (!m_silent)
        telemetry::Event("agent_silent")
            .with("agent", m_agent)
            .with("call", call)
            .with("reason", reason.message);
    m_silent = true;
}

void AgentLink::watchLoop()
{
    WatchCall call;
    call.epoch = m_epoch;
    while (!m_stopping) {
        if (!watchOnce(call))
            absl::SleepFor(PauseAfterFailure);
    }
}

bool AgentLink::watchOnce(WatchCall &call)
{
    {
        absl::MutexLock lock(&m_mutex);
        // The first call of a connection and those after a failure must not wait.
        call.wait = m_agentClockMs == 0 || m_silent ? absl::ZeroDuration() : WatchWait;
        if (m_callbacks.mayPermit() && m_agentClockMs != 0)
            m_permitMs = m_agentClockMs + absl::ToInt64Milliseconds(RenewalPermit);
        call.renewUntilMs = m_permitMs;
    }
    const auto answer = m_client.call(m_address, "watch", toJson(call), call.wait + AnswerTime);
    std::optional<AgentState> state;
    if (answer)
        state = agentStateFromJson(*answer);
    if (!state) {
        noteFailure("watch");
        return false;
    }
    bool news = state->version != call.since || state->incarnation != call.agentIncarnation;
    call.since = state->version;
    call.agentIncarnation = state->incarnation;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_silent)
            telemetry::Event("agent_answers").with("agent", m_agent);
        // The worker may have been taken out of service meanwhile.
        news = news || m_silent;
        m_silent = false;
        m_agentClockMs = state->clockMs;
        m_lastAnswer = m_clock.now();
        state->receivedAt = m_lastAnswer;
    }
    m_callbacks.onState(m_agent, *std::move(state), news);
    return true;
}

void AgentLink::orderLoop()
{
    while (true) {
        OrderCall call;
        {
            absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(this, &AgentLink::hasOrders));
            if (m_stopping)
                return;
            call = m_pending;
            m_pending.orders.clear();
            m_acknowledge = false;
            call.epoch = m_epoch;
            call.renewUntilMs = m_permitMs;
        }
        const auto answer = m_client.call(m_address, "orders", toJson(call), OrderTimeout);
        std::vector<OrderResult> results(call.orders.size(), OrderResult::Unanswered);
        if (!answer)
            noteFailure("orders");
        for (std::size_t i = 0; answer && i < results.size(); ++i) {
            const Json::Value &rows = core::member(*answer, "results");
            if (i < rows.size() && rows[static_cast<Json::ArrayIndex>(i)].isInt())
                results[i] =
                    static_cast<OrderResult>(rows[static_cast<Json::ArrayIndex>(i)].asInt());
        }
        if (!call.orders.empty())
            m_callbacks.onResults(m_agent, call.life, std::move(call.orders), std::move(results));
    }
}

} // namespace oleandercross::control
