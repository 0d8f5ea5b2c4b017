#pragma once

#include <oleandercross/config/settings.h>
#include <oleandercross/core/executor.h>
#include <oleandercross/ownership/leaseholder.h>
#include <oleandercross/platform/storewriter.h>
#include <oleandercross/rpc/rpc.h>

#include <functional>

namespace oleandercross::daemon {

// Executes the actions of the lease holder for this entry's data centre. Thread safe.
class LeaseDriver
{
public:
    // Invoked on the driver's threads, one at a time and in order.
    struct Callbacks
    {
        std::function<void(const ownership::BecomeLeader &)> leadershipGained;
        std::function<void()> leadershipLost;
    };

    LeaseDriver(const config::Settings &settings, std::int64_t incarnation,
                platform::StoreWriter &store, rpc::Client &client, Callbacks callbacks);
    ~LeaseDriver();

    void addHandlers(rpc::Server &server);
    void start();
    void stop();

    // Passes an epoch from a message of an agent or entry to the lease holder.
    void epochSeen(ownership::Epoch epoch);
    // Releases the lease for a planned stop. Returns true once it is released, or if it was never
    // held.
    bool handOver(absl::Duration timeout);

    bool mayDecide() const;
    bool leadsDuringStoreOutage() const;

private:
    void apply(const ownership::LeaseEvent &event);
    void run(const ownership::ReadRows &action);
    void run(const ownership::WriteRows &action);
    void run(const ownership::QueryWitnesses &action);
    void run(const ownership::AnnounceRelease &action);
    void notify(const ownership::LeaseAction &action);

    const config::Settings m_settings;
    platform::StoreWriter &m_store;
    rpc::Client &m_client;
    const Callbacks m_callbacks;
    const core::SteadyClock m_clock;
    // Serialises the callbacks in the order of the lease holder's actions.
    absl::Mutex m_callbackMutex ABSL_ACQUIRED_BEFORE(m_mutex);
    mutable absl::Mutex m_mutex;
    ownership::LeaseHolder m_holder ABSL_GUARDED_BY(m_mutex);
    core::Executor m_executor;
};

} // namespace oleandercross::daemon
