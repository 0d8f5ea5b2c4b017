#pragma once

#include <oleandercross/core/ids.h>

#include <absl/container/btree_map.h>

#include <deque>
#include <optional>

namespace oleandercross::dispatch::detail {

// A waiting request; `cost` is its expected service time in seconds.
struct QueuedRequest
{
    core::RequestId id;
    core::AccountId account;
    double cost = 0;
};

// Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) between accounts: each account gets
// service time in proportion to its weight while it has requests waiting; first come, first served
// within an account.
class FairQueue
{
public:
    void setWeight(const core::AccountId &account, int weight);

    void push(QueuedRequest request);
    // Puts a request that was taken before in front of its account's queue, without a new charge.
    void pushFront(QueuedRequest request);
    // The next request, or null. Valid until the queue changes.
    const QueuedRequest *front() const;
    QueuedRequest pop();
    bool remove(const core::AccountId &account, const core::RequestId &id);

    // Corrects the service time that was charged when a request was taken.
    void charge(const core::AccountId &account, double seconds);

    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    std::size_t size(const core::AccountId &account) const;
    // Sum of the account's waiting costs.
    double work(const core::AccountId &account) const;
    // The share of service that the account gets when it has requests waiting.
    double share(const core::AccountId &account) const;

private:
    struct AccountQueue
    {
        std::deque<QueuedRequest> requests;
        int weight = 1;
        double work = 0;
        // Service time received divided by the weight.
        double virtualTime = 0;
    };

    AccountQueue &activate(const core::AccountId &account);
    const AccountQueue *next() const;

    absl::btree_map<core::AccountId, AccountQueue> m_accounts;
    double m_virtualNow = 0;
    std::size_t m_size = 0;
};

} // namespace oleandercross::dispatch::detail
