#include <oleandercross/daemon/requestrunner.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <algorithm>

namespace oleandercross::daemon {

namespace {

// The longest time for which `dispatch` and `fate` wait for a result. If there is none by then,
// they reply Fate::Running, so that the entry can distinguish a long request from an unresponsive
// connection.
constexpr absl::Duration MaxLongPoll = absl::Seconds(1);
// Time for which an undelivered result counts as unresolved and thus delays a drain. Entries repeat
// a query within 2 s of a lost reply (CallTimeout in requestgateway.cpp).
constexpr absl::Duration UndeliveredLifetime = absl::Seconds(4);
// Timeout of `slotsGranted`. A grant is valid for only 50 ms (GrantValidity in
// src/dispatch/admission.cpp), so that a late message is useless.
constexpr absl::Duration GrantTimeout = absl::Milliseconds(200);
// Threads that send grants, so that one unresponsive entry does not delay the others.
constexpr int GrantThreadCount = 4;
// Slots of each minion that admission reserves for short work.
constexpr int ShortSlotCount = 2;

int totalSlots(const config::Settings &settings)
{
    int slots = 0;
    for (const config::MinionSettings &minion : settings.minions)
        slots += minion.slots;
    return slots;
}

// Returns the number of reserved slots that is announced to entries: at most a quarter of the
// minion's slots.
int shortSlotsOf(const config::MinionSettings &minion)
{
    return std::min(ShortSlotCount, minion.slots / 4);
}

dispatch::AdmissionSettings admissionSettings(const config::Settings &settings,
                                              std::int64_t incarnation)
{
    dispatch::AdmissionSettings admission;
    admission.agent = core::AgentId(settings.id);
    admission.incarnation = incarnation;
    admission.shortSlots = ShortSlotCount;
    return admission;
}

dispatch::FateReport fateReport(dispatch::Fate fate, core::ResultCode code)
{
    return {fate, code, {}};
}

} // namespace

RequestRunner::RequestRunner(const config::Settings &settings, std::int64_t incarnation,
                             MinionClients clients, rpc::Client &client,
                             telemetry::Metrics &metrics, const telemetry::Tracer &tracer)
    : m_started(m_clock.now())
    , m_minions(settings.minions)
    , m_agent(settings.id)
    , m_incarnation(incarnation)
    , m_clients(std::move(clients))
    , m_client(client)
    , m_metrics(metrics)
    , m_tracer(tracer)
    , m_admission(admissionSettings(settings, incarnation), m_started)
    , m_table({}, m_admission)
    , m_executor(std::max(1, totalSlots(settings)))
    , m_grantExecutor(GrantThreadCount)
{
    absl::MutexLock lock(&m_mutex);
    for (const config::MinionSettings &minion : m_minions)
        m_admission.setMinion(minion.id, minion.service, minion.slots);
}

std::optional<Json::Value> RequestRunner::dispatch(const Json::Value &params)
{
    const dispatch::DispatchMessage message = decodeDispatchMessage(params);
    const std::string traceparent = core::stringMember(params, "traceparent");
    const auto span = m_tracer.start("agent admission", traceparent);
    absl::MutexLock lock(&m_mutex);
    const dispatch::Receipt receipt = m_table.receive(message, m_clock.now());
    switch (receipt.kind) {
    case dispatch::Receipt::Kind::Refused:
        m_metrics.add("requests_refused");
        return encode(reply(message, fateReport(dispatch::Fate::Refused, receipt.code)));
    case dispatch::Receipt::Kind::Answered:
        return encode(reply(message, {dispatch::Fate::Answered, receipt.code, receipt.answer}));
    case dispatch::Receipt::Kind::Unknown:
        break;
    case dispatch::Receipt::Kind::Start:
        m_metrics.add("requests_started");
        m_executing[message.id] = message.target.minion;
        m_executor.post(
            [this, message, body = decodeBytes(params, "body"),
             parent = telemetry::Tracer::traceparent(*span)] { execute(message, body, parent); });
        break;
    }
    const absl::Duration wait = std::min(MaxLongPoll, message.timeLeft);
    return encode(
        reply(message, awaitCompletion({message.id, message.target, message.agentUptime}, wait)));
}

std::optional<Json::Value> RequestRunner::fate(const Json::Value &params)
{
    const dispatch::FateQuery query = decodeFateQuery(params);
    const absl::Duration wait = std::min(MaxLongPoll, decodeDuration(params, "waitUs"));
    absl::MutexLock lock(&m_mutex);
    return encode(awaitCompletion(query, wait));
}

std::optional<Json::Value> RequestRunner::cancel(const Json::Value &params)
{
    const core::RequestId id(core::stringMember(params, "id"));
    core::MinionId minion;
    {
        absl::MutexLock lock(&m_mutex);
        minion = m_table.cancel(id, m_clock.now(), decodeDuration(params, "agentUptimeUs"));
    }
    const auto client = m_clients.find(minion);
    if (client != m_clients.end())
        client->second->cancel(id);
    return Json::Value(Json::objectValue);
}

std::optional<Json::Value> RequestRunner::demand(const Json::Value &params)
{
    const core::EntryId entry(core::stringMember(params, "entry"));
    const core::MinionId minion(core::stringMember(params, "minion"));
    const auto address = http::parseEndpoint(core::stringMember(params, "address"));
    if (!address || core::intMember(params, "incarnation") != m_incarnation)
        return core::fail(core::ResultCode::StaleIncarnation, "the agent has restarted");
    Grants grants;
    {
        absl::MutexLock lock(&m_mutex);
        m_entryEndpoints[entry] = *address;
        m_admission.demand(entry, minion, static_cast<int>(core::intMember(params, "slots")),
                           static_cast<int>(core::intMember(params, "shortSlots")), m_clock.now());
        grants = grantSlots();
    }
    Json::Value reply;
    const auto callerGrants = grants.find(entry);
    if (callerGrants != grants.end()) {
        reply["grants"] = callerGrants->second;
        grants.erase(callerGrants);
    }
    sendGrants(grants);
    return reply;
}

RequestRunner::Grants RequestRunner::grantSlots()
{
    Grants grants;
    for (const dispatch::SlotGrant &grant : m_admission.grant(m_clock.now())) {
        const dispatch::TargetId target{m_agent, m_incarnation, grant.minion};
        grants[grant.entry].append(encodeGrant(target, grant));
    }
    return grants;
}

void RequestRunner::sendGrants(const Grants &grants)
{
    for (const auto &[entry, granted] : grants) {
        http::Endpoint address;
        {
            absl::MutexLock lock(&m_mutex);
            address = m_entryEndpoints[entry];
        }
        m_metrics.add("grants_sent");
        m_grantExecutor.post([this, address, granted = granted] {
            Json::Value message;
            message["grants"] = granted;
            m_client.call(address, "slotsGranted", std::move(message), GrantTimeout);
        });
    }
}

dispatch::FateReport RequestRunner::awaitCompletion(const dispatch::FateQuery &query,
                                                    absl::Duration limit)
{
    const auto ended = [this, &query] {
        m_mutex.AssertHeld();
        return m_executing.count(query.id) == 0;
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&ended), limit);
    return markDelivered(query.id, m_table.fate(query, m_clock.now()));
}

dispatch::FateReport RequestRunner::markDelivered(const core::RequestId &id,
                                                  dispatch::FateReport report)
{
    if (report.fate != dispatch::Fate::Running)
        m_undelivered.erase(id);
    return report;
}

DispatchReply RequestRunner::reply(const dispatch::DispatchMessage &message,
                                   dispatch::FateReport report)
{
    return {std::move(report), m_admission.load(message.target.minion, m_clock.now())};
}

void RequestRunner::execute(const dispatch::DispatchMessage &message, const std::string &body,
                            const std::string &traceparent)
{
    const auto span = m_tracer.start("minion", traceparent);
    span->SetTag("minion", message.target.minion.str());
    const core::Instant begin = m_clock.now();
    const platform::MinionRequest request{message.id, message.account, message.service, body,
                                          telemetry::Tracer::traceparent(*span)};
    const auto answer = m_clients.at(message.target.minion)->execute(request, message.timeLeft);
    const core::ResultCode code = answer ? core::ResultCode::Ok : core::lastReason().code;
    const core::Instant now = m_clock.now();
    m_metrics.observe("minion_seconds", now - begin);

    Grants grants;
    {
        absl::MutexLock lock(&m_mutex);
        if (answer)
            m_table.finish(message.id, {answer->succeeded, answer->body}, now);
        // The minion did not run the request, so that the entry may choose another target.
        else if (code == core::ResultCode::ConnectionFailed || core::provablyNotRun(code))
            m_table.finishNotRun(message.id, core::ResultCode::NoTarget, now);
        else
            m_table.finishUnknown(message.id, now);
        m_executing.erase(message.id);
        std::erase_if(m_undelivered,
                      [now](const auto &item) { return now - item.second > UndeliveredLifetime; });
        m_undelivered[message.id] = now;
        grants = grantSlots();
    }
    sendGrants(grants);
}

void RequestRunner::configurationConfirmed()
{
    absl::MutexLock lock(&m_mutex);
    m_admission.configurationConfirmed(m_clock.now());
}

void RequestRunner::drainMinions(const std::vector<core::MinionId> &minions)
{
    absl::MutexLock lock(&m_mutex);
    for (const config::MinionSettings &minion : m_minions) {
        const bool draining = std::find(minions.begin(), minions.end(), minion.id) != minions.end();
        m_admission.setDraining(minion.id, draining);
        m_draining[minion.id] = draining;
    }
}

void RequestRunner::drain()
{
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    m_admission.setDraining(true);
}

std::vector<MinionState> RequestRunner::minions() const
{
    absl::MutexLock lock(&m_mutex);
    const core::Instant now = m_clock.now();
    std::vector<MinionState> states;
    for (const config::MinionSettings &minion : m_minions) {
        const auto draining = m_draining.find(minion.id);
        states.push_back({minion.id, minion.service, minion.slots, shortSlotsOf(minion),
                          m_admission.load(minion.id, now),
                          m_stopping || (draining != m_draining.end() && draining->second),
                          now - m_started});
    }
    return states;
}

absl::Duration RequestRunner::uptime() const
{
    absl::MutexLock lock(&m_mutex);
    return m_admission.uptime(m_clock.now());
}

int RequestRunner::unresolvedRequests() const
{
    absl::MutexLock lock(&m_mutex);
    const core::Instant now = m_clock.now();
    const auto recent = [now](const auto &item) {
        return now - item.second <= UndeliveredLifetime;
    };
    const auto undelivered = std::count_if(m_undelivered.begin(), m_undelivered.end(), recent);
    return static_cast<int>(m_executing.size()) + static_cast<int>(undelivered);
}

} // namespace oleandercross::daemon
