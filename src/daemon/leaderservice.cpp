#include <oleandercross/daemon/leaderservice.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/daemon/gangmessages.h>

namespace oleandercross::daemon {

namespace {

constexpr absl::Duration HandOverTimeout = absl::Seconds(3);

std::optional<Json::Value> emptyReply()
{
    return Json::Value(Json::objectValue);
}

} // namespace

LeaderService::LeaderService(const config::Settings &settings, std::int64_t incarnation,
                             ClusterView &cluster, ManifestService &manifests,
                             platform::StoreWriter &store, rpc::Client &client,
                             telemetry::Metrics &metrics)
    : m_settings(settings)
    , m_cluster(cluster)
    , m_manifests(manifests)
    , m_store(store)
    , m_client(client)
    , m_metrics(metrics)
    , m_lease(settings, incarnation, store, client,
              {[this](const ownership::BecomeLeader &l) { startTerm(l); }, [this] { endTerm(); }})
    , m_executor(2)
{ }

LeaderService::~LeaderService()
{
    m_lease.stop();
    endTerm();
    m_executor.stop();
}

void LeaderService::start()
{
    m_lease.start();
}

void LeaderService::stop()
{
    m_lease.handOver(HandOverTimeout);
    m_lease.stop();
    if (const auto ended = term())
        ended->stop();
}

std::shared_ptr<Term> LeaderService::term() const
{
    absl::MutexLock lock(&m_mutex);
    return m_term;
}

std::shared_ptr<Term> LeaderService::activeTerm() const
{
    std::shared_ptr<Term> current = term();
    if (current && current->restored() && m_lease.mayDecide())
        return current;
    core::fail(core::ResultCode::NotLeader, "this entry is not the leader of the data centre");
    return nullptr;
}

void LeaderService::startTerm(const ownership::BecomeLeader &leadership)
{
    const TermContext context{m_settings,
                              m_cluster,
                              m_manifests,
                              m_store,
                              m_client,
                              m_metrics,
                              [this] { return m_lease.mayDecide(); },
                              [this] { return m_lease.leadsDuringStoreOutage(); },
                              [this](std::int64_t epoch) {
                                  m_executor.post([this, epoch] { m_lease.epochSeen(epoch); });
                              }};
    auto term = std::make_shared<Term>(context, leadership.epoch, leadership.epochCondition);
    {
        absl::MutexLock lock(&m_mutex);
        m_term = term;
    }
    m_cluster.setOwnEpoch(leadership.epoch);
    m_metrics.set("leading_epoch", leadership.epoch);
    term->start();
}

void LeaderService::endTerm()
{
    std::shared_ptr<Term> ended;
    {
        absl::MutexLock lock(&m_mutex);
        ended.swap(m_term);
    }
    m_metrics.set("leading_epoch", 0);
    if (ended)
        m_executor.post([ended] { ended->stop(); });
}

void LeaderService::agentChanged(const AgentInfo &info, bool alive)
{
    if (const auto current = term())
        current->agentChanged(info, alive);
}

std::optional<Term::Status> LeaderService::status() const
{
    const auto current = term();
    return current ? std::optional(current->status()) : std::nullopt;
}

void LeaderService::addHandlers(rpc::Server &server)
{
    m_lease.addHandlers(server);
    server.add("taskEvent", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const auto current = activeTerm();
        if (!current)
            return std::nullopt;
        current->taskEvent(decodeTaskEvent(params));
        return emptyReply();
    });
    server.add("taskUsage", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const auto current = activeTerm();
        if (!current)
            return std::nullopt;
        std::vector<platform::TaskStatus> tasks;
        for (const Json::Value &task : core::member(params, "tasks"))
            tasks.push_back(decodeTaskStatus(task));
        current->taskUsage(tasks);
        return emptyReply();
    });
    server.add("jobAdded", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const auto current = activeTerm();
        if (!current)
            return std::nullopt;
        if (!current->addJob(core::JobId(core::stringMember(params, "job"))))
            return core::fail(core::ResultCode::NotReady, "the job could not be read");
        return emptyReply();
    });
    server.add("jobStatus", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const auto current = activeTerm();
        if (!current)
            return std::nullopt;
        const auto record = current->jobRecord(
            core::JobId(core::stringMember(params, "job")), core::stringMember(params, "known"),
            absl::Milliseconds(core::intMember(params, "waitMs")));
        return record ? std::optional(encode(*record)) : std::nullopt;
    });
    server.add("jobCancel", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const auto current = activeTerm();
        if (!current)
            return std::nullopt;
        const auto record = current->cancelJob(core::JobId(core::stringMember(params, "job")));
        return record ? std::optional(encode(*record)) : std::nullopt;
    });
    server.add("explain", [this](const Json::Value &params) -> std::optional<Json::Value> {
        const auto current = activeTerm();
        if (!current)
            return std::nullopt;
        const auto explanation = current->explain(core::JobId(core::stringMember(params, "job")));
        if (!explanation)
            return std::nullopt;
        Json::Value reply;
        reply["reason"] = explanation->reason;
        reply["remedy"] = explanation->remedy;
        return reply;
    });
}

} // namespace oleandercross::daemon
