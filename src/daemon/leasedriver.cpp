#include <oleandercross/daemon/leasedriver.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/rpc/broadcast.h>
#include <oleandercross/telemetry/log.h>

#include <absl/strings/str_cat.h>

#include <vector>

namespace oleandercross::daemon {

namespace {

constexpr int ThreadCount = 6;
constexpr absl::Duration TickPeriod = absl::Milliseconds(100);
constexpr absl::Duration ReadTimeout = absl::Seconds(1);
constexpr absl::Duration WriteTimeout = absl::Milliseconds(1500);
constexpr absl::Duration WitnessTimeout = absl::Milliseconds(500);
constexpr absl::Duration AnnounceTimeout = absl::Milliseconds(500);

ownership::LeaseSettings leaseSettings(const config::Settings &settings, std::int64_t incarnation)
{
    ownership::LeaseSettings lease;
    lease.dataCentre = settings.dataCentre;
    lease.self = core::EntryId(settings.id);
    lease.incarnation = incarnation;
    lease.witnesses = static_cast<int>(settings.entries.size()) - 1;
    return lease;
}

core::ResultCode toResultCode(platform::WriteOutcome outcome)
{
    switch (outcome) {
    case platform::WriteOutcome::Applied:
        return core::ResultCode::Ok;
    case platform::WriteOutcome::Conflict:
        return core::ResultCode::VersionConflict;
    case platform::WriteOutcome::NotApplied:
        return core::ResultCode::StoreUnavailable;
    case platform::WriteOutcome::Unknown:
        break;
    }
    return core::ResultCode::OutcomeUnknown;
}

} // namespace

LeaseDriver::LeaseDriver(const config::Settings &settings, std::int64_t incarnation,
                         platform::StoreWriter &store, rpc::Client &client, Callbacks callbacks)
    : m_settings(settings)
    , m_store(store)
    , m_client(client)
    , m_callbacks(std::move(callbacks))
    , m_holder(leaseSettings(settings, incarnation))
    , m_executor(ThreadCount)
{ }

LeaseDriver::~LeaseDriver()
{
    stop();
}

void LeaseDriver::addHandlers(rpc::Server &server)
{
    server.add("storeView", [this](const Json::Value &) -> std::optional<Json::Value> {
        absl::MutexLock lock(&m_mutex);
        Json::Value reply;
        reply["unavailable"] = m_holder.storeView(m_clock.now()).unavailable;
        return reply;
    });
    server.add("leaseReleased", [this](const Json::Value &params) -> std::optional<Json::Value> {
        apply(ownership::LeaseReleased{core::intMember(params, "epoch")});
        return Json::Value(Json::objectValue);
    });
}

void LeaseDriver::start()
{
    m_executor.every(TickPeriod, [this] { apply(ownership::LeaseTick{}); });
}

void LeaseDriver::stop()
{
    m_executor.stop();
}

void LeaseDriver::apply(const ownership::LeaseEvent &event)
{
    absl::MutexLock callbackLock(&m_callbackMutex);
    std::vector<ownership::LeaseAction> actions;
    {
        absl::MutexLock lock(&m_mutex);
        actions = m_holder.apply(event, m_clock.now());
    }
    for (ownership::LeaseAction &action : actions) {
        if (std::holds_alternative<ownership::ReadRows>(action))
            m_executor.post([this] { run(ownership::ReadRows{}); });
        else if (auto *write = std::get_if<ownership::WriteRows>(&action))
            m_executor.post([this, write = *write] { run(write); });
        else if (std::holds_alternative<ownership::QueryWitnesses>(action))
            run(ownership::QueryWitnesses{});
        else if (auto *announce = std::get_if<ownership::AnnounceRelease>(&action))
            run(*announce);
        else
            notify(action);
    }
}

void LeaseDriver::notify(const ownership::LeaseAction &action)
{
    if (const auto *leadership = std::get_if<ownership::BecomeLeader>(&action)) {
        telemetry::logInfo("ownership",
                           absl::StrCat("became leader of ", m_settings.dataCentre.str(),
                                        " with epoch ", leadership->epoch));
        m_callbacks.leadershipGained(*leadership);
    } else if (std::holds_alternative<ownership::Resign>(action)) {
        telemetry::logInfo("ownership", "lost leadership of " + m_settings.dataCentre.str());
        m_callbacks.leadershipLost();
    } else if (std::holds_alternative<ownership::Suspend>(action)) {
        telemetry::logInfo("ownership", "decisions suspended: the lease has not been confirmed");
    } else if (std::holds_alternative<ownership::Resume>(action)) {
        telemetry::logInfo("ownership", "decisions resumed");
    }
}

void LeaseDriver::run(const ownership::ReadRows &)
{
    const core::Instant sentAt = m_clock.now();
    const auto lease = m_store.read("lease/" + m_settings.dataCentre.str(), ReadTimeout);
    const auto epoch =
        lease ? m_store.read("epoch/" + m_settings.dataCentre.str(), ReadTimeout) : std::nullopt;
    if (lease && epoch)
        apply(ownership::RowsRead{sentAt, *lease, *epoch});
    else
        apply(ownership::RowsUnreadable{});
}

void LeaseDriver::run(const ownership::WriteRows &action)
{
    const platform::WriteResult result =
        m_store.write(action.transaction, platform::WritePriority::Lease, WriteTimeout);
    apply(ownership::RowsWritten{action.transaction.writeId, toResultCode(result.outcome),
                                 result.version});
}

void LeaseDriver::run(const ownership::QueryWitnesses &)
{
    for (const config::EntryAddress &entry : m_settings.entries) {
        if (entry.id.str() == m_settings.id)
            continue;
        m_executor.post([this, entry] {
            const core::Instant askedAt = m_clock.now();
            const auto reply = m_client.call(entry.rpc, "storeView", Json::Value(Json::objectValue),
                                             WitnessTimeout);
            if (reply) {
                apply(ownership::WitnessAnswered{
                    entry.id, askedAt, {core::boolMember(*reply, "unavailable")}});
            }
        });
    }
}

// Blocks until every peer has been notified. The calls are not posted to the executor, because its
// stop() waits for running tasks but drops queued ones.
void LeaseDriver::run(const ownership::AnnounceRelease &action)
{
    std::vector<http::Endpoint> peers;
    for (const config::EntryAddress &entry : m_settings.entries) {
        if (entry.id.str() != m_settings.id && entry.dataCentre == m_settings.dataCentre)
            peers.push_back(entry.rpc);
    }
    Json::Value message;
    message["epoch"] = static_cast<Json::Int64>(action.epoch);
    rpc::broadcast(m_client, peers, "leaseReleased", message, AnnounceTimeout);
}

void LeaseDriver::epochSeen(ownership::Epoch epoch)
{
    apply(ownership::EpochObserved{epoch});
}

bool LeaseDriver::handOver(absl::Duration timeout)
{
    apply(ownership::HandOver{});
    const auto done = [this] {
        m_mutex.AssertHeld();
        return m_holder.handedOver();
    };
    absl::MutexLock lock(&m_mutex);
    return m_mutex.AwaitWithTimeout(absl::Condition(&done), timeout);
}

bool LeaseDriver::mayDecide() const
{
    absl::MutexLock lock(&m_mutex);
    return m_holder.mayDecide(m_clock.now());
}

bool LeaseDriver::leadsDuringStoreOutage() const
{
    absl::MutexLock lock(&m_mutex);
    return m_holder.leadsDuringStoreOutage();
}

} // namespace oleandercross::daemon
