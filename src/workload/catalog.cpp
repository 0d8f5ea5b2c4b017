#include <oleandercross/workload/catalog.h>

#include <absl/strings/match.h>

#include <algorithm>

namespace oleandercross::workload {

const Queue *Catalog::queueFor(const std::string &host, const std::string &path) const
{
    const Queue *best = nullptr;
    for (const Queue &queue : queues) {
        const bool matches =
            absl::EqualsIgnoreCase(queue.host, host) && absl::StartsWith(path, queue.pathPrefix);
        if (matches && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

const Account *Catalog::accountWithApiKey(const std::string &apiKey) const
{
    if (apiKey.empty())
        return nullptr;
    for (const Account &account : accounts) {
        if (std::find(account.apiKeys.begin(), account.apiKeys.end(), apiKey)
            != account.apiKeys.end())
            return &account;
    }
    return nullptr;
}

const Queue *Catalog::queue(const std::string &name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&name](const Queue &queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

} // namespace oleandercross::workload
