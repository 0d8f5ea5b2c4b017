#include <oleandercross/daemon/requestgateway.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/messages.h>

#include <opentracing/span.h>

#include <random>

namespace oleandercross::daemon {

namespace {

constexpr int Threads = 4;
constexpr absl::Duration TickPeriod = absl::Milliseconds(10);
constexpr absl::Duration CallerCheckPeriod = absl::Milliseconds(100);
// Agents answer within 1 s, so a call that takes longer is on a silent connection.
constexpr absl::Duration CallTimeout = absl::Milliseconds(1800);
constexpr absl::Duration FateHold = absl::Milliseconds(900);
constexpr absl::Duration CancelTimeout = absl::Seconds(1);
// Outcomes held for callers that ask again through another entry.
constexpr std::size_t MaxEnded = 20000;

std::mt19937_64 seededGenerator(const config::Settings &settings)
{
    return std::mt19937_64(std::hash<std::string>()(settings.id));
}

dispatch::DispatcherSettings dispatcherSettings(const config::Settings &settings)
{
    dispatch::DispatcherSettings dispatcher;
    dispatcher.entry = core::EntryId(settings.id);
    return dispatcher;
}

dispatch::Outcome outcome(dispatch::OutcomeKind kind, core::ResultCode code)
{
    return {kind, code, {}, absl::ZeroDuration()};
}

} // namespace

RequestGateway::RequestGateway(const config::Settings &settings, ClusterView &cluster,
                               rpc::Client &client, telemetry::Metrics &metrics,
                               const telemetry::Tracer &tracer)
    : m_settings(settings)
    , m_cluster(cluster)
    , m_client(client)
    , m_metrics(metrics)
    , m_tracer(tracer)
    , m_dispatcher(dispatcherSettings(settings), seededGenerator(settings))
    , m_executor(Threads)
{ }

RequestGateway::~RequestGateway()
{
    stop();
}

void RequestGateway::start()
{
    m_executor.every(TickPeriod, [this] { tick(); });
    m_executor.every(CallerCheckPeriod, [this] { watchCallers(); });
}

void RequestGateway::stop()
{
    m_executor.stop();
}

dispatch::Outcome RequestGateway::run(const ShortRequest &request)
{
    const auto queueSpan = m_tracer.start("entry queue", request.traceparent);
    Waiter waiter;
    waiter.request = &request;
    absl::MutexLock lock(&m_mutex);
    if (m_ended.count(request.id) > 0)
        return outcome(dispatch::OutcomeKind::NotRun, core::ResultCode::Cancelled);
    m_waiters[request.id] = &waiter;
    dispatch::RequestArrived arrived;
    arrived.id = request.id;
    arrived.account = request.account;
    arrived.service = request.service;
    arrived.idempotent = request.idempotent;
    arrived.deadline = m_clock.now() + request.deadline;
    arrived.bodyBytes = request.body.size();
    apply(arrived);
    while (true) {
        const dispatch::Action action = nextAction(waiter);
        if (const auto *finish = std::get_if<dispatch::FinishRequest>(&action)) {
            m_waiters.erase(request.id);
            remember(request.id, finish->outcome);
            return finish->outcome;
        }
        queueSpan->Finish();
        m_mutex.Unlock();
        const dispatch::Event event = std::holds_alternative<dispatch::DispatchRequest>(action)
            ? execute(std::get<dispatch::DispatchRequest>(action), request)
            : execute(std::get<dispatch::AskFate>(action));
        m_mutex.Lock();
        apply(event);
    }
}

dispatch::Action RequestGateway::nextAction(Waiter &waiter)
{
    const auto ready = [&waiter] { return !waiter.actions.empty(); };
    m_mutex.Await(absl::Condition(&ready));
    dispatch::Action action = std::move(waiter.actions.front());
    waiter.actions.pop_front();
    return action;
}

void RequestGateway::apply(const dispatch::Event &event)
{
    for (dispatch::Action &action : m_dispatcher.apply(event, m_clock.now()))
        route(std::move(action));
}

void RequestGateway::route(dispatch::Action action)
{
    if (const auto *cancel = std::get_if<dispatch::CancelAtTarget>(&action)) {
        m_executor.post([this, cancel = *cancel] { cancelAtTarget(cancel); });
        return;
    }
    core::RequestId id;
    if (const auto *dispatch = std::get_if<dispatch::DispatchRequest>(&action))
        id = dispatch->message.id;
    else if (const auto *fate = std::get_if<dispatch::AskFate>(&action))
        id = fate->id;
    else if (const auto *finish = std::get_if<dispatch::FinishRequest>(&action))
        id = finish->id;
    else
        return;
    const auto waiter = m_waiters.find(id);
    if (waiter != m_waiters.end())
        waiter->second->actions.push_back(std::move(action));
}

void RequestGateway::remember(const core::RequestId &id, const dispatch::Outcome &outcome)
{
    m_ended[id] = {outcome, m_clock.now()};
    m_endedOrder.push_back(id);
    if (m_endedOrder.size() > MaxEnded) {
        m_ended.erase(m_endedOrder.front());
        m_endedOrder.pop_front();
    }
}

dispatch::Event RequestGateway::execute(const dispatch::DispatchRequest &action,
                                        const ShortRequest &request)
{
    const dispatch::DispatchMessage &message = action.message;
    const auto agent = m_cluster.agent(message.target.agent);
    if (!agent || agent->incarnation != message.target.incarnation) {
        return dispatch::DispatchRefused{message.id, message.attempt,
                                         core::ResultCode::StaleIncarnation, std::nullopt};
    }
    const auto span = m_tracer.start("dispatch", request.traceparent);
    span->SetTag("agent", message.target.agent.str());
    Json::Value params = encode(message);
    params["body"] = request.body;
    params["traceparent"] = telemetry::Tracer::traceparent(*span);
    m_metrics.add("dispatches_sent");
    const auto answer = m_client.call(agent->rpc, "dispatch", std::move(params), CallTimeout);
    if (!answer) {
        const core::ResultCode code = core::lastReason().code;
        m_metrics.add("dispatches_failed");
        if (code == core::ResultCode::ConnectionFailed || core::provablyNotRun(code))
            return dispatch::DispatchRefused{message.id, message.attempt, code, std::nullopt};
        return dispatch::DispatchUnknown{message.id, message.attempt};
    }
    const DispatchReply reply = decodeDispatchReply(*answer);
    switch (reply.report.fate) {
    case dispatch::Fate::Answered:
        return dispatch::DispatchAnswered{message.id, message.attempt, reply.report.answer,
                                          reply.load};
    case dispatch::Fate::Refused:
    case dispatch::Fate::NeverSeen:
        return dispatch::DispatchRefused{message.id, message.attempt, reply.report.code,
                                         reply.load};
    default:
        return dispatch::DispatchUnknown{message.id, message.attempt};
    }
}

dispatch::Event RequestGateway::execute(const dispatch::AskFate &action)
{
    const dispatch::FateReport unreachable;
    const auto agent = m_cluster.agent(action.target.agent);
    if (!agent)
        return dispatch::FateLearned{action.id, action.attempt, unreachable};
    if (agent->incarnation != action.target.incarnation) {
        // The incarnation that may have run the request is gone with its records.
        dispatch::FateReport unknown;
        unknown.fate = dispatch::Fate::Unknown;
        return dispatch::FateLearned{action.id, action.attempt, unknown};
    }
    Json::Value params;
    params["id"] = action.id.str();
    params["agentUptimeUs"] = encodeDuration(action.agentUptime);
    params["waitUs"] = encodeDuration(FateHold);
    m_metrics.add("fates_asked");
    const auto answer = m_client.call(agent->rpc, "fate", std::move(params), CallTimeout);
    return dispatch::FateLearned{action.id, action.attempt,
                                 answer ? decodeFateReport(*answer) : unreachable};
}

void RequestGateway::cancelAtTarget(const dispatch::CancelAtTarget &action)
{
    const auto agent = m_cluster.agent(action.target.agent);
    if (!agent)
        return;
    Json::Value params;
    params["id"] = action.id.str();
    m_client.call(agent->rpc, "cancelRequest", std::move(params), CancelTimeout);
}

void RequestGateway::tick()
{
    absl::MutexLock lock(&m_mutex);
    apply(dispatch::Tick{});
}

void RequestGateway::watchCallers()
{
    absl::MutexLock lock(&m_mutex);
    std::vector<core::RequestId> gone;
    for (const auto &[id, waiter] : m_waiters) {
        const http::Connection *connection = waiter->request->connection;
        if (!waiter->callerGone && connection && connection->closedByPeer()) {
            waiter->callerGone = true;
            gone.push_back(id);
        }
    }
    for (const core::RequestId &id : gone) {
        m_metrics.add("callers_gone");
        apply(dispatch::RequestCancelled{id});
    }
}

void RequestGateway::agentChanged(const AgentInfo &info, bool alive)
{
    const absl::Duration distance = m_cluster.distance(info.dataCentre);
    absl::MutexLock lock(&m_mutex);
    const auto known = m_agents.find(info.id);
    const bool restarted =
        known != m_agents.end() && known->second->incarnation != info.incarnation;
    if (known != m_agents.end() && (!alive || restarted)) {
        const std::shared_ptr<const AgentInfo> old = known->second;
        for (const MinionState &minion : old->minions) {
            apply(
                dispatch::TargetGone{dispatch::TargetId{old->id, old->incarnation, minion.minion}});
        }
        m_agents.erase(info.id);
    }
    if (!alive)
        return;
    m_agents[info.id] = std::make_shared<const AgentInfo>(info);
    for (const MinionState &minion : info.minions) {
        dispatch::TargetAnnounced announced;
        announced.target = {info.id, info.incarnation, minion.minion};
        announced.service = minion.service;
        announced.dataCentre = info.dataCentre;
        announced.distance = distance;
        announced.slots = minion.slots;
        announced.shortSlots = minion.shortSlots;
        announced.load = minion.load;
        announced.draining = minion.draining || info.draining;
        announced.servingFor = minion.servingFor;
        announced.agentUptime = info.uptime;
        apply(announced);
    }
}

void RequestGateway::setLimits(const std::vector<config::Account> &accounts)
{
    absl::MutexLock lock(&m_mutex);
    for (const config::Account &account : accounts)
        apply(dispatch::LimitsChanged{account.name, account.weight, account.requestsPerSecond});
}

std::optional<dispatch::Outcome> RequestGateway::knownOutcome(const core::RequestId &id)
{
    absl::MutexLock lock(&m_mutex);
    if (m_waiters.count(id) > 0)
        return outcome(dispatch::OutcomeKind::Unknown, core::ResultCode::StillRunning);
    const auto ended = m_ended.find(id);
    if (ended != m_ended.end())
        return ended->second.outcome;
    // A request that was accepted but has not reached the queue must not start any more.
    remember(id, outcome(dispatch::OutcomeKind::NotRun, core::ResultCode::Cancelled));
    return std::nullopt;
}

std::optional<Json::Value> RequestGateway::requestFate(const Json::Value &params)
{
    const core::RequestId id(core::stringMember(params, "id"));
    const std::optional<dispatch::Outcome> known = knownOutcome(id);
    Json::Value reply;
    reply["known"] = known.has_value();
    if (!known)
        return reply;
    reply["kind"] = static_cast<int>(known->kind);
    dispatch::FateReport report;
    report.fate = known->kind == dispatch::OutcomeKind::Answered ? dispatch::Fate::Answered
                                                                 : dispatch::Fate::Refused;
    report.code = known->code;
    report.answer = known->answer;
    reply["report"] = encode(report);
    return reply;
}

dispatch::Outcome RequestGateway::askAgents(const core::RequestId &id)
{
    bool unreachable = false;
    for (const auto &agent : m_cluster.agents()) {
        Json::Value params;
        params["id"] = id.str();
        const auto answer = m_client.call(agent->rpc, "fate", std::move(params), CallTimeout);
        if (!answer) {
            unreachable = true;
            continue;
        }
        const dispatch::FateReport report = decodeFateReport(*answer);
        if (report.fate == dispatch::Fate::Answered)
            return {dispatch::OutcomeKind::Answered, report.code, report.answer, {}};
        if (report.fate == dispatch::Fate::Running)
            return outcome(dispatch::OutcomeKind::Unknown, core::ResultCode::StillRunning);
        if (report.fate == dispatch::Fate::Unknown || report.fate == dispatch::Fate::Unreachable)
            unreachable = true;
    }
    if (unreachable)
        return outcome(dispatch::OutcomeKind::Unknown, core::ResultCode::OutcomeUnknown);
    return outcome(dispatch::OutcomeKind::NotRun, core::ResultCode::Cancelled);
}

int RequestGateway::open() const
{
    absl::MutexLock lock(&m_mutex);
    return static_cast<int>(m_waiters.size());
}

dispatch::DispatcherStatus RequestGateway::status() const
{
    absl::MutexLock lock(&m_mutex);
    return m_dispatcher.status();
}

} // namespace oleandercross::daemon
