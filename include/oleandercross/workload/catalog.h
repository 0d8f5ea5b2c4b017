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
    // Callers need no API key.
    bool open = false;
    // Steps may only run on workers recommended by an advice service.
    bool needsAdvice = false;

    friend bool operator==(const Queue &, const Queue &) = default;
};

struct Account
{
    std::string name;
    std::vector<std::string> apiKeys;
    // Accelerators that are always available to the account's jobs of priority 0.
    std::int64_t guaranteedAccelerators = 0;

    friend bool operator==(const Account &, const Account &) = default;
};

// One version of the operator's configuration.
struct Catalog
{
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Account> accounts;
    // Whether the workers of a service refuse tasks that exceed their free capacity, by service
    // name.
    std::map<std::string, bool> serviceEnforcesCapacity;
    std::size_t maxBodyBytes = 262144;

    // Returns the queue with the longest matching prefix, null if there is none.
    const Queue *queueFor(const std::string &host, const std::string &path) const;
    // Returns the account that owns the API key, null if there is none.
    const Account *accountWithApiKey(const std::string &apiKey) const;
    const Queue *queue(const std::string &name) const;

    friend bool operator==(const Catalog &, const Catalog &) = default;
};

} // namespace oleandercross::workload
