#pragma once

#include <oleandercross/core/ids.h>

#include <absl/container/btree_map.h>

#include <deque>
#include <optional>

namespace oleandercross::dispatch::detail {

// A waiting request. `costSeconds` is its expected service time.
struct QueuedRequest
{
    core::RequestId id;
    core::AccountId account;
    double costSeconds = 0;
};

// Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) between accounts. Each account
// receives service time in proportion to its weight while it has requests waiting; the requests of
// one account are served in order of arrival.
class FairQueue
{
public:
    void setWeight(const core::AccountId &account, int weight);

    void push(QueuedRequest request);
    // Returns a request that was removed with pop() to the front of its account's queue and refunds
    // its cost.
    void pushFront(QueuedRequest request);
    // Returns the next request, or null. The pointer is valid until the queue changes.
    const QueuedRequest *front() const;
    QueuedRequest pop();
    bool remove(const core::AccountId &account, const core::RequestId &id);

    // Adjusts the account's received service time by the difference between the actual service time
    // of a request and the cost charged by pop().
    void charge(const core::AccountId &account, double seconds);

    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }
    std::size_t size(const core::AccountId &account) const;
    // Returns the sum of the costs of the account's waiting requests.
    double queuedSeconds(const core::AccountId &account) const;
    // Returns the fraction of the service time that the account receives while it has requests
    // waiting.
    double serviceShare(const core::AccountId &account) const;

private:
    struct AccountQueue
    {
        std::deque<QueuedRequest> requests;
        int weight = 1;
        double queuedSeconds = 0;
        // Received service time divided by the weight.
        double virtualTime = 0;
    };

    AccountQueue &activate(const core::AccountId &account);
    const AccountQueue *next() const;

    absl::btree_map<core::AccountId, AccountQueue> m_accounts;
    double m_virtualNow = 0;
    std::size_t m_size = 0;
};

} // namespace oleandercross::dispatch::detail
