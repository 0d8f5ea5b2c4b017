#include "fairqueue.h"

#include <algorithm>

namespace oleandercross::dispatch::detail {

void FairQueue::setWeight(const core::AccountId &account, int weight)
{
    m_accounts[account].weight = std::max(1, weight);
}

FairQueue::AccountQueue &FairQueue::activate(const core::AccountId &account)
{
    AccountQueue &queue = m_accounts[account];
    // An idle account accumulates no credit.
    if (queue.requests.empty())
        queue.virtualTime = std::max(queue.virtualTime, m_virtualNow);
    return queue;
}

void FairQueue::push(QueuedRequest request)
{
    AccountQueue &queue = activate(request.account);
    queue.queuedSeconds += request.costSeconds;
    queue.requests.push_back(std::move(request));
    ++m_size;
}

void FairQueue::pushFront(QueuedRequest request)
{
    AccountQueue &queue = activate(request.account);
    queue.virtualTime -= request.costSeconds / queue.weight;
    queue.queuedSeconds += request.costSeconds;
    queue.requests.push_front(std::move(request));
    ++m_size;
}

const FairQueue::AccountQueue *FairQueue::next() const
{
    const AccountQueue *best = nullptr;
    for (const auto &[account, queue] : m_accounts) {
        if (!queue.requests.empty() && (!best || queue.virtualTime < best->virtualTime))
            best = &queue;
    }
    return best;
}

const QueuedRequest *FairQueue::front() const
{
    const AccountQueue *queue = next();
    return queue ? &queue->requests.front() : nullptr;
}

QueuedRequest FairQueue::pop()
{
    AccountQueue &queue = m_accounts.at(next()->requests.front().account);
    QueuedRequest request = std::move(queue.requests.front());
    queue.requests.pop_front();
    queue.queuedSeconds = queue.requests.empty() ? 0 : queue.queuedSeconds - request.costSeconds;
    m_virtualNow = std::max(m_virtualNow, queue.virtualTime);
    queue.virtualTime += request.costSeconds / queue.weight;
    --m_size;
    return request;
}

bool FairQueue::remove(const core::AccountId &account, const core::RequestId &id)
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return false;
    auto &requests = it->second.requests;
    const auto found = std::find_if(requests.begin(), requests.end(),
                                    [&](const QueuedRequest &r) { return r.id == id; });
    if (found == requests.end())
        return false;
    it->second.queuedSeconds -= found->costSeconds;
    requests.erase(found);
    --m_size;
    return true;
}

void FairQueue::charge(const core::AccountId &account, double seconds)
{
    const auto it = m_accounts.find(account);
    if (it != m_accounts.end())
        it->second.virtualTime += seconds / it->second.weight;
}

std::size_t FairQueue::size(const core::AccountId &account) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? 0 : it->second.requests.size();
}

double FairQueue::queuedSeconds(const core::AccountId &account) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? 0 : it->second.queuedSeconds;
}

double FairQueue::serviceShare(const core::AccountId &account) const
{
    double own = 1;
    double others = 0;
    for (const auto &[name, queue] : m_accounts) {
        if (name == account)
            own = queue.weight;
        else if (!queue.requests.empty())
            others += queue.weight;
    }
    return own / (own + others);
}

} // namespace oleandercross::dispatch::detail
