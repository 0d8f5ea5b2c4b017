#include <oleandercross/config/manifest.h>

#include "guaranteesfit.h"
#include "mapreader.h"

#include <oleandercross/config/manifestcodec.h>
#include <oleandercross/core/digest.h>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace oleandercross::config {

namespace {

using core::ResultCode;
using detail::Errors;
using detail::MapReader;
using detail::YamlNode;
using Names = absl::flat_hash_set<std::string>;

constexpr detail::Range RacksPerDataCentreRange{1, 1024};
constexpr detail::Range WorkersPerRackRange{1, 1024};
constexpr detail::Range CellsPerGuaranteeRange{1, 1 << 20};
constexpr detail::Range AcceleratorQuotaRange{0, 1 << 20};
constexpr detail::Range WeightRange{1, 1000};
constexpr detail::Range RequestsPerSecondRange{0, 1000 * 1000};
constexpr absl::Duration MinDeadline = absl::Milliseconds(1);
// The maximum request deadline of the API.
constexpr absl::Duration MaxDeadline = absl::Minutes(10);

constexpr std::array<std::pair<Level, const char *>, 5> LevelNames = {{
    {Level::Accelerator, "accelerator"},
    {Level::Pair, "pair"},
    {Level::Quad, "quad"},
    {Level::Worker, "worker"},
    {Level::Rack, "rack"},
}};

// A guarantee with its account and line, to report the one that makes a manifest exceed capacity.
struct LocatedGuarantee
{
    std::size_t account = 0;
    Guarantee guarantee;
    int line = 1;
};

void checkUnique(Errors &errors, Names &names, const std::string &name, int line, const char *what)
{
    if (!names.insert(name).second)
        errors.report(ResultCode::ConfigDuplicateKey, line,
                      absl::StrCat(what, " '", name, "' occurs twice"));
}

void checkReference(Errors &errors, const Names &names, const std::string &name, int line,
                    const char *what)
{
    if (!names.contains(name))
        errors.report(ResultCode::ConfigUnknownReference, line,
                      absl::StrCat("unknown ", what, " '", name, "'"));
}

class ManifestReader
{
public:
    ManifestReader(Errors &errors, const YamlNode &root)
        : m_errors(errors)
        , m_map(errors, root,
                {"dataCentres", "accounts", "services", "drainWorkers", "drainMinions"})
    { }

    Manifest read()
    {
        for (const YamlNode &node : m_map.requiredList("dataCentres"))
            m_manifest.dataCentres.push_back(readDataCentre(node));
        if (m_manifest.dataCentres.empty())
            m_errors.report(ResultCode::ConfigMissingValue, m_map.line("dataCentres"),
                            "at least one data centre is required");
        for (const YamlNode &node : m_map.requiredList("accounts"))
            m_manifest.accounts.push_back(readAccount(node));
        for (const YamlNode &node : m_map.requiredList("services"))
            m_manifest.services.push_back(readService(node));
        m_manifest.drainWorkers = readDrainTargets<core::WorkerId>("drainWorkers", "worker");
        m_manifest.drainMinions = readDrainTargets<core::MinionId>("drainMinions", "minion");
        if (!m_errors.first())
            checkGuarantees();
        return std::move(m_manifest);
    }

private:
    PlannedDataCentre readDataCentre(const YamlNode &node)
    {
        MapReader map(m_errors, node, {"name", "racks", "workersPerRack", "perWorker"});
        PlannedDataCentre dataCentre;
        dataCentre.name = map.name<core::DataCentreId>("name");
        checkUnique(m_errors, m_dataCentres, dataCentre.name.str(), map.line("name"),
                    "data centre");
        dataCentre.racks = static_cast<int>(map.integer("racks", RacksPerDataCentreRange));
        dataCentre.workersPerRack =
            static_cast<int>(map.integer("workersPerRack", WorkersPerRackRange));
        if (const YamlNode *resources = map.required("perWorker"))
            dataCentre.perWorker = detail::readResources(m_errors, *resources);
        return dataCentre;
    }

    Account readAccount(const YamlNode &node)
    {
        MapReader map(
            m_errors, node,
            {"name", "tokenHashes", "guarantees", "teams", "weight", "requestsPerSecond"});
        Account account;
        account.name = map.name<core::AccountId>("name");
        checkUnique(m_errors, m_accounts, account.name.str(), map.line("name"), "account");
        for (const YamlNode &hash : map.requiredList("tokenHashes")) {
            account.tokenHashes.push_back(detail::readDigest(m_errors, hash, "a token hash"));
            checkUnique(m_errors, m_tokenHashes, account.tokenHashes.back(), hash.line,
                        "token hash");
        }
        if (account.tokenHashes.empty())
            m_errors.report(ResultCode::ConfigMissingValue, map.line("tokenHashes"),
                            "at least one token hash is required");
        Names cells;
        for (const YamlNode &guarantee : map.list("guarantees"))
            account.guarantees.push_back(readGuarantee(guarantee, cells));
        Names teams;
        for (const YamlNode &team : map.list("teams"))
            account.teams.push_back(readTeam(team, teams));
        account.weight = static_cast<int>(map.integer("weight", WeightRange, account.weight));
        account.requestsPerSecond = static_cast<int>(
            map.integer("requestsPerSecond", RequestsPerSecondRange, account.requestsPerSecond));
        return account;
    }

    Guarantee readGuarantee(const YamlNode &node, Names &cells)
    {
        MapReader map(m_errors, node, {"dataCentre", "level", "count"});
        Guarantee guarantee;
        guarantee.dataCentre = map.name<core::DataCentreId>("dataCentre");
        checkReference(m_errors, m_dataCentres, guarantee.dataCentre.str(), map.line("dataCentre"),
                       "data centre");
        const std::string text = map.text("level");
        const std::optional<Level> level = levelFromString(text);
        if (!level)
            m_errors.report(ResultCode::ConfigOutOfRange, map.line("level"),
                            "level must be accelerator, pair, quad, worker or rack");
        guarantee.level = level.value_or(Level::Accelerator);
        guarantee.count = static_cast<int>(map.integer("count", CellsPerGuaranteeRange));
        checkUnique(m_errors, cells, absl::StrCat(guarantee.dataCentre.str(), " ", text), node.line,
                    "guarantee");
        m_guarantees.push_back({m_manifest.accounts.size(), guarantee, node.line});
        return guarantee;
    }

    Team readTeam(const YamlNode &node, Names &teams)
    {
        MapReader map(m_errors, node, {"name", "acceleratorQuota"});
        Team team;
        team.name = map.name<core::TeamId>("name");
        checkUnique(m_errors, teams, team.name.str(), map.line("name"), "team");
        team.acceleratorQuota =
            static_cast<int>(map.integer("acceleratorQuota", AcceleratorQuotaRange));
        return team;
    }

    Service readService(const YamlNode &node)
    {
        MapReader map(m_errors, node, {"name", "accounts", "defaultDeadline"});
        Service service;
        service.name = map.name<core::ServiceId>("name");
        checkUnique(m_errors, m_services, service.name.str(), map.line("name"), "service");
        Names seen;
        for (const YamlNode &account : map.list("accounts")) {
            const std::string name = detail::readName(m_errors, account, "account");
            checkReference(m_errors, m_accounts, name, account.line, "account");
            checkUnique(m_errors, seen, name, account.line, "account");
            service.accounts.emplace_back(name);
        }
        service.defaultDeadline =
            map.seconds("defaultDeadline", MinDeadline, MaxDeadline, service.defaultDeadline);
        return service;
    }

    // Does not check that the targets exist: they register at run time and are unknown here.
    template <typename Id>
    std::vector<Id> readDrainTargets(const char *key, const char *what)
    {
        std::vector<Id> ids;
        Names names;
        for (const YamlNode &node : m_map.list(key)) {
            ids.emplace_back(detail::readName(m_errors, node, what));
            checkUnique(m_errors, names, ids.back().str(), node.line, what);
        }
        return ids;
    }

    // Reports the first guarantee in file order that does not fit together with those before it.
    void checkGuarantees()
    {
        if (detail::guaranteesFit(m_manifest.dataCentres, m_manifest.accounts))
            return;
        std::vector<Account> accounts(m_manifest.accounts.size());
        for (const LocatedGuarantee &located : m_guarantees) {
            accounts[located.account].guarantees.push_back(located.guarantee);
            if (detail::guaranteesFit(m_manifest.dataCentres, accounts))
                continue;
            const core::Reason &reason = core::lastReason();
            m_errors.report(reason.code, located.line, reason.message);
            return;
        }
    }

    Errors &m_errors;
    MapReader m_map;
    Manifest m_manifest;
    Names m_dataCentres;
    Names m_accounts;
    Names m_services;
    Names m_tokenHashes;
    std::vector<LocatedGuarantee> m_guarantees;
};

template <typename Element, typename Id>
const Element *findByName(const std::vector<Element> &elements, const Id &name)
{
    const auto it = std::find_if(elements.begin(), elements.end(),
                                 [&](const Element &element) { return element.name == name; });
    return it == elements.end() ? nullptr : &*it;
}

} // namespace

const char *toString(Level level)
{
    return LevelNames[static_cast<std::size_t>(level)].second;
}

std::optional<Level> levelFromString(const std::string &text)
{
    for (const auto &[level, name] : LevelNames) {
        if (text == name)
            return level;
    }
    return core::fail(ResultCode::BadField, absl::StrCat("unknown level '", text, "'"));
}

const Account *Manifest::account(const core::AccountId &name) const
{
    return findByName(accounts, name);
}

const Service *Manifest::service(const core::ServiceId &name) const
{
    return findByName(services, name);
}

const Account *Manifest::accountForToken(const std::string &token) const
{
    const std::string digest = core::sha256Hex(token);
    const Account *found = nullptr;
    for (const Account &account : accounts) {
        for (const std::string &hash : account.tokenHashes) {
            if (core::equalConstantTime(hash, digest))
                found = &account;
        }
    }
    return found;
}

std::optional<Manifest> parseManifest(const std::string &yaml, const std::string &fileName)
{
    const std::optional<YamlNode> root = detail::parseYaml(yaml, fileName);
    if (!root)
        return std::nullopt;
    Errors errors(fileName);
    Manifest manifest = ManifestReader(errors, *root).read();
    if (errors.first())
        return core::fail(*errors.first());
    return normalized(std::move(manifest));
}

} // namespace oleandercross::config
