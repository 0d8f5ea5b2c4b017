#pragma once

#include <oleandercross/workload/job.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::workload {

// A queue that callers submit jobs to, selected by host and path prefix.
struct Queue
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    QueueTerms terms;
    // Callers need no key.
    bool open = false;
    // Steps may only run on workers that an advice service names.
    bool needsAdvice = false;

    friend bool operator==(const Queue &, const Queue &) = default;
};

struct Account
{
    std::string name;
    std::vector<std::string> keys;
    // Accelerators that belong to the account's jobs of priority 0 at all times.
    std::int64_t guaranteedAccelerators = 0;

    friend bool operator==(const Account &, const Account &) = default;
};

// The operator's configuration of one version.
struct Catalog
{
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Account> accounts;
    // Whether a service's workers refuse what does not fit, by the service's name.
    std::map<std::string, bool> serviceGuardsCapacity;
    std::size_t maxBodyBytes = 262144;

    // The queue with the longest matching prefix, null if there is none.
    const Queue *queueFor(const std::string &host, const std::string &path) const;
    // The account that holds the key, null if there is none.
    const Account *accountWithKey(const std::string &key) const;
    const Queue *queue(const std::string &name) const;

    friend bool operator==(const Catalog &, const Catalog &) = default;
};

} // namespace oleandercross::workload
