#include <oleandercross/daemon/requestgateway.h>

#include <oleandercross/core/digest.h>
#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/messages.h>

#include <opentracing/span.h>

#include <random>

namespace oleandercross::daemon {

namespace {

constexpr int ThreadCount = 8;
constexpr absl::Duration TickPeriod = absl::Milliseconds(10);
constexpr absl::Duration CallerCheckPeriod = absl::Milliseconds(100);
// Agents answer within 1 s, so a call that takes longer has an unresponsive connection.
constexpr absl::Duration CallTimeout = absl::Milliseconds(1800);
// Network time of an answer that the agent sends just before the deadline.
constexpr absl::Duration AnswerMargin = absl::Milliseconds(100);
constexpr absl::Duration FateWait = absl::Milliseconds(900);
constexpr absl::Duration CancelTimeout = absl::Seconds(1);
// Demands are repeated every 50 ms while requests wait.
constexpr absl::Duration DemandTimeout = absl::Milliseconds(200);
constexpr absl::Duration ClaimTimeout = absl::Seconds(2);
// Maximum number of attempts with one key, each after the previous one provably did not run.
constexpr int MaxClaimAttempts = 4;

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
                               rpc::Client &client, RequestClaims &claims,
                               telemetry::Metrics &metrics, const telemetry::Tracer &tracer)
    : m_settings(settings)
    , m_cluster(cluster)
    , m_client(client)
    , m_claims(claims)
    , m_metrics(metrics)
    , m_tracer(tracer)
    , m_dispatcher(dispatcherSettings(settings), seededGenerator(settings))
    , m_executor(ThreadCount)
{ }

RequestGateway::~RequestGateway()
{
    stop();
}

void RequestGateway::addHandlers(rpc::Server &server)
{
    server.add("slotsGranted", [this](const Json::Value &params) -> std::optional<Json::Value> {
        applyGrants(core::member(params, "grants"));
        return Json::Value(Json::objectValue);
    });
}

void RequestGateway::start()
{
    m_executor.every(TickPeriod, [this] { tick(); });
    m_executor.every(CallerCheckPeriod, [this] { cancelForDisconnectedCallers(); });
}

void RequestGateway::stop()
{
    m_executor.stop();
}

dispatch::Outcome RequestGateway::run(const ShortRequest &request)
{
    if (!request.key)
        return runOnce(request, 0);
    const core::Instant deadline = m_clock.now() + request.deadline;
    std::int64_t claimVersion = 0;
    ShortRequest attempt = request;
    for (int i = 0; i < MaxClaimAttempts; ++i) {
        attempt.deadline = deadline - m_clock.now();
        const dispatch::Outcome own = runOnce(attempt, claimVersion);
        if (own.code != core::ResultCode::DuplicateKey)
            return own;
        const auto claim = m_claims.read(*request.key);
        if (!claim || !*claim)
            return outcome(dispatch::OutcomeKind::NotRun, core::ResultCode::StoreUnavailable);
        if ((*claim)->digest != request.key->digest)
            return own;
        const dispatch::Outcome earlier = awaitOutcome(**claim, deadline);
        if (earlier.kind != dispatch::OutcomeKind::NotRun)
            return earlier;
        claimVersion = (*claim)->version;
        attempt.id = core::RequestId(core::randomHexId());
    }
    return outcome(dispatch::OutcomeKind::NotRun, core::ResultCode::NoTarget);
}

dispatch::Outcome RequestGateway::runOnce(const ShortRequest &request, std::int64_t claimVersion)
{
    const auto queueSpan = m_tracer.start("entry queue", request.traceparent);
    Waiter waiter;
    waiter.request = &request;
    waiter.claimVersion = claimVersion;
    absl::MutexLock lock(&m_mutex);
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
            return finish->outcome;
        }
        queueSpan->Finish();
        m_mutex.Unlock();
        dispatch::Event event;
        if (const auto *dispatch = std::get_if<dispatch::DispatchRequest>(&action)) {
            event = execute(*dispatch, waiter);
        } else {
            const auto &fate = std::get<dispatch::SendFateQuery>(action);
            event = dispatch::FateReceived{fate.query.id, fate.attempt, queryFate(fate.query)};
        }
        m_mutex.Lock();
        apply(event);
    }
}

dispatch::Outcome RequestGateway::awaitOutcome(const Claim &claim, core::Instant deadline)
{
    while (true) {
        const dispatch::FateReport report = queryFate(claim.fate);
        switch (report.fate) {
        case dispatch::Fate::Answered:
            return {dispatch::OutcomeKind::Answered, report.code, report.answer, {}};
        case dispatch::Fate::Refused:
        case dispatch::Fate::NeverSeen:
            return outcome(dispatch::OutcomeKind::NotRun, report.code);
        case dispatch::Fate::Running:
            break;
        default:
            return outcome(dispatch::OutcomeKind::Unknown, core::ResultCode::OutcomeUnknown);
        }
        if (m_clock.now() >= deadline)
            return outcome(dispatch::OutcomeKind::Unknown, core::ResultCode::StillRunning);
    }
}

dispatch::Outcome RequestGateway::outcomeOfKey(const RequestKey &key, absl::Duration timeout)
{
    const auto claim = m_claims.read(key);
    if (!claim)
        return outcome(dispatch::OutcomeKind::Unknown, core::ResultCode::StoreUnavailable);
    if (!*claim)
        return outcome(dispatch::OutcomeKind::NotRun, core::ResultCode::UnknownRequest);
    return awaitOutcome(**claim, m_clock.now() + timeout);
}

dispatch::Action RequestGateway::nextAction(Waiter &waiter)
{
    const auto ready = [&waiter] { return !waiter.actions.empty(); };
    m_mutex.Await(absl::Condition(&ready));
    dispatch::Action action = std::move(waiter.actions.front());
    waiter.actions.pop_front();
    return action;
}

bool RequestGateway::hasAction(const Waiter &waiter) const
{
    absl::MutexLock lock(&m_mutex);
    return !waiter.actions.empty();
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
    if (const auto *ask = std::get_if<dispatch::SendSlotDemand>(&action)) {
        m_executor.post([this, ask = *ask] { sendSlotDemand(ask); });
        return;
    }
    core::RequestId id;
    if (const auto *dispatch = std::get_if<dispatch::DispatchRequest>(&action))
        id = dispatch->message.id;
    else if (const auto *fate = std::get_if<dispatch::SendFateQuery>(&action))
        id = fate->query.id;
    else if (const auto *finish = std::get_if<dispatch::FinishRequest>(&action))
        id = finish->id;
    else
        return;
    const auto waiter = m_waiters.find(id);
    if (waiter != m_waiters.end())
        waiter->second->actions.push_back(std::move(action));
}

std::optional<dispatch::Event> RequestGateway::claimTarget(const dispatch::DispatchMessage &message,
                                                           Waiter &waiter)
{
    const RequestKey &key = *waiter.request->key;
    Claim claim;
    claim.request = message.id;
    claim.fate = {message.id, message.target, message.agentUptime};
    claim.digest = key.digest;
    claim.claimedAtMicros = core::wallClockMicros();
    const absl::Duration timeout = std::min(ClaimTimeout, message.timeLeft);
    const auto version = m_claims.write(key, claim, waiter.claimVersion, timeout);
    if (version) {
        waiter.claimVersion = *version;
        return std::nullopt;
    }
    const bool claimed = core::lastReason().code == core::ResultCode::VersionConflict;
    return dispatch::DispatchRefused{message.id, message.attempt,
                                     claimed ? core::ResultCode::DuplicateKey
                                             : core::ResultCode::StoreUnavailable,
                                     std::nullopt};
}

dispatch::Event RequestGateway::execute(const dispatch::DispatchRequest &action, Waiter &waiter)
{
    const dispatch::DispatchMessage &message = action.message;
    const ShortRequest &request = *waiter.request;
    const auto agent = m_cluster.agent(message.target.agent);
    if (!agent || agent->incarnation != message.target.incarnation) {
        return dispatch::DispatchRefused{message.id, message.attempt,
                                         core::ResultCode::StaleIncarnation, std::nullopt};
    }
    if (request.key) {
        if (const auto refused = claimTarget(message, waiter))
            return *refused;
    }
    const auto span = m_tracer.start("dispatch", request.traceparent);
    span->SetTag("agent", message.target.agent.str());
    Json::Value params = encode(message);
    encodeBytes(params, "body", request.body);
    params["traceparent"] = telemetry::Tracer::traceparent(*span);
    m_metrics.add("dispatches_sent");
    const absl::Duration timeout = std::min(CallTimeout, message.timeLeft + AnswerMargin);
    const auto answer = m_client.call(agent->rpc, "dispatch", std::move(params), timeout);
    if (!answer) {
        const core::ResultCode code = core::lastReason().code;
        m_metrics.add("dispatches_failed");
        if (code == core::ResultCode::ConnectionFailed || core::provablyNotRun(code))
            return dispatch::DispatchRefused{message.id, message.attempt, code, std::nullopt};
        return dispatch::DispatchUnknown{message.id, message.attempt, false};
    }
    DispatchReply reply = decodeDispatchReply(*answer);
    const dispatch::FateQuery query{message.id, message.target, message.agentUptime};
    while (reply.report.fate == dispatch::Fate::Running && !hasAction(waiter))
        reply.report = queryFate(query);
    switch (reply.report.fate) {
    case dispatch::Fate::Answered:
        return dispatch::DispatchAnswered{message.id, message.attempt, reply.report.answer,
                                          reply.load};
    case dispatch::Fate::Refused:
    case dispatch::Fate::NeverSeen:
        return dispatch::DispatchRefused{message.id, message.attempt, reply.report.code,
                                         reply.load};
    default:
        return dispatch::DispatchUnknown{message.id, message.attempt,
                                         reply.report.fate == dispatch::Fate::Running};
    }
}

dispatch::FateReport RequestGateway::queryFate(const dispatch::FateQuery &query)
{
    dispatch::FateReport report;
    const auto agent = m_cluster.agent(query.target.agent);
    if (!agent)
        return report;
    if (agent->incarnation != query.target.incarnation) {
        // The agent restarted, and the previous incarnation's request records are lost.
        report.fate = dispatch::Fate::Unknown;
        return report;
    }
    Json::Value params = encode(query);
    params["waitUs"] = encodeDuration(FateWait);
    m_metrics.add("fates_asked");
    const auto answer = m_client.call(agent->rpc, "fate", std::move(params), CallTimeout);
    return answer ? decodeFateReport(*answer) : report;
}

void RequestGateway::cancelAtTarget(const dispatch::CancelAtTarget &action)
{
    const auto agent = m_cluster.agent(action.target.agent);
    if (!agent)
        return;
    Json::Value params;
    params["id"] = action.id.str();
    params["agentUptimeUs"] = encodeDuration(action.agentUptime);
    m_client.call(agent->rpc, "cancelRequest", std::move(params), CancelTimeout);
}

void RequestGateway::sendSlotDemand(const dispatch::SendSlotDemand &action)
{
    const auto agent = m_cluster.agent(action.target.agent);
    if (!agent)
        return;
    Json::Value params;
    params["entry"] = m_settings.id;
    params["address"] = http::toString(m_settings.rpcListen);
    params["minion"] = action.target.minion.str();
    params["incarnation"] = static_cast<Json::Int64>(action.target.incarnation);
    params["slots"] = action.slots;
    params["shortSlots"] = action.shortSlots;
    m_metrics.add("demands_sent");
    const auto reply = m_client.call(agent->rpc, "demand", std::move(params), DemandTimeout);
    if (reply)
        applyGrants(core::member(*reply, "grants"));
}

void RequestGateway::applyGrants(const Json::Value &grants)
{
    absl::MutexLock lock(&m_mutex);
    for (const Json::Value &grant : grants)
        apply(decodeGrant(grant));
}

void RequestGateway::tick()
{
    absl::MutexLock lock(&m_mutex);
    apply(dispatch::Tick{});
}

void RequestGateway::cancelForDisconnectedCallers()
{
    absl::MutexLock lock(&m_mutex);
    std::vector<core::RequestId> disconnected;
    for (const auto &[id, waiter] : m_waiters) {
        const http::Connection *connection = waiter->request->connection;
        if (!waiter->callerDisconnected && connection && connection->closedByPeer()) {
            waiter->callerDisconnected = true;
            disconnected.push_back(id);
        }
    }
    for (const core::RequestId &id : disconnected) {
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
            apply(dispatch::TargetRemoved{
                dispatch::TargetId{old->id, old->incarnation, minion.minion}});
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

// The load balancer distributes callers evenly over the live entries, so each gets an equal share.
void RequestGateway::setLimits(const std::vector<config::Account> &accounts, int liveEntries)
{
    const double share = 1.0 / std::max(1, liveEntries);
    absl::MutexLock lock(&m_mutex);
    for (const config::Account &account : accounts) {
        apply(dispatch::LimitsChanged{account.name, account.weight,
                                      account.requestsPerSecond * share});
    }
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
