#pragma once

#include <oleandercross/core/ids.h>
#include <oleandercross/core/resources.h>

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::config {

// Levels of the hierarchy in which accelerators are adjacent, from narrow to wide.
enum class Level { Accelerator, Pair, Quad, Worker, Rack };

// The name in files and messages: "accelerator", "pair", "quad", "worker" or "rack".
const char *toString(Level level);

// Fails with BadField on any other text.
std::optional<Level> levelFromString(const std::string &text);

// `count` cells of a level in one data centre that an account can claim at any time.
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
    // Most accelerators that the team's jobs may hold at the same time.
    int acceleratorQuota = 0;

    friend bool operator==(const Team &, const Team &) = default;
};

struct Account
{
    core::AccountId name;
    // SHA-256 of the tokens that callers present, in hexadecimal digits.
    std::vector<std::string> tokenHashes;
    std::vector<Guarantee> guarantees;
    std::vector<Team> teams;
    // Share of short-request service relative to other accounts.
    int weight = 1;
    // Most short requests a second, averaged over a second with as large a burst; 0 is unlimited.
    int requestsPerSecond = 0;

    friend bool operator==(const Account &, const Account &) = default;
};

struct Service
{
    core::ServiceId name;
    // Accounts that may call the service; empty means all.
    std::vector<core::AccountId> accounts;
    absl::Duration defaultDeadline = absl::Seconds(10);

    friend bool operator==(const Service &, const Service &) = default;
};

// The capacity that the operator plans with. Guarantees are checked against it, so that the
// verdict on a manifest does not depend on which hosts happen to be up.
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
    // The account that holds a token, compared by its SHA-256; null if there is none.
    const Account *accountOfToken(const std::string &token) const;

    friend bool operator==(const Manifest &, const Manifest &) = default;
};

// Parses a manifest strictly and checks it as a whole: references, uniqueness, ranges, and that all
// guarantees can be placed together. The result is normalised, see normalized(). Fails with a 1xx
// code and "FILE:LINE: message".
std::optional<Manifest> parseManifest(const std::string &yaml, const std::string &fileName);

} // namespace oleandercross::config
