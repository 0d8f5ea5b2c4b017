#pragma once

#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config {

// Levels of accelerator adjacency, from the narrowest to the widest.
enum class Level { Accelerator, Pair, Quad, Worker, Rack };

// Returns the name used in files and messages: "accelerator", "pair", "quad", "worker" or "rack".
const char *toString(Level level);

// Parses a name as returned by toString(). Fails with BadField on any other text.
std::optional<Level> levelFromString(const std::string &text);

// Guaranteed capacity: an account can claim `count` cells of one level in a data centre at any
// time.
struct Guarantee
{
    core::DataCentreId dataCentre;
    Level level = Level::Accelerator;
    int count = 0;

    friend bool operator==(const Guarantee &, const Guarantee &) = default;
};

struct Team
{
    core::TeamId name;
    // Maximum number of accelerators that the team's jobs may hold at the same time.
    int acceleratorQuota = 0;

    friend bool operator==(const Team &, const Team &) = default;
};

struct Account
{
    core::AccountId name;
    // SHA-256 hashes of the account's tokens, as hexadecimal digits in lower case.
    std::vector<std::string> tokenHashes;
    std::vector<Guarantee> guarantees;
    std::vector<Team> teams;
    // Share of the short-request capacity relative to the other accounts.
    int weight = 1;
    // Maximum rate of short requests, with a burst of one second's requests; 0 means unlimited.
    int requestsPerSecond = 0;

    friend bool operator==(const Account &, const Account &) = default;
};

struct Service
{
    core::ServiceId name;
    // Accounts that may call the service; empty means all accounts.
    std::vector<core::AccountId> accounts;
    absl::Duration defaultDeadline = absl::Seconds(10);

    friend bool operator==(const Service &, const Service &) = default;
};

// The planned capacity of a data centre. Guarantees are validated against the planned instead of
// the live capacity, so that a manifest's validity does not depend on which hosts are up.
struct PlannedDataCentre
{
    core::DataCentreId name;
    int racks = 0;
    int workersPerRack = 0;
    core::Resources perWorker;

    friend bool operator==(const PlannedDataCentre &, const PlannedDataCentre &) = default;
};

// The declared configuration of the cluster.
struct Manifest
{
    std::vector<PlannedDataCentre> dataCentres;
    std::vector<Account> accounts;
    std::vector<Service> services;
    std::vector<core::WorkerId> drainWorkers;
    std::vector<core::MinionId> drainMinions;

    const Account *account(const core::AccountId &name) const;
    const Service *service(const core::ServiceId &name) const;
    // Returns the account with this token, or null if there is none. Compares SHA-256 hashes.
    const Account *accountForToken(const std::string &token) const;

    friend bool operator==(const Manifest &, const Manifest &) = default;
};

// Parses a manifest, rejecting unknown keys, and validates it as a whole: references, uniqueness,
// ranges, and whether all guarantees can be placed together. The result is normalised, see
// normalized(). Fails with a 1xx code and "FILE:LINE: message".
std::optional<Manifest> parseManifest(const std::string &yaml, const std::string &fileName);

} // namespace oleandercross::config
