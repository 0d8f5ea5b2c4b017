#include "guaranteesfit.h"

#include <oleandercross/core/resultcode.h>

#include <absl/strings/str_cat.h>

#include <array>

namespace oleandercross::config::detail {

namespace {

constexpr std::array<Level, 5> WidestFirst = {Level::Rack, Level::Worker, Level::Quad, Level::Pair,
                                              Level::Accelerator};

std::int64_t demanded(const std::vector<Account> &accounts, const core::DataCentreId &dataCentre,
                      Level level)
{
    std::int64_t count = 0;
    for (const Account &account : accounts) {
        for (const Guarantee &guarantee : account.guarantees) {
            if (guarantee.dataCentre == dataCentre && guarantee.level == level)
                count += guarantee.count;
        }
    }
    return count;
}

// The free cells of a level while the levels are visited from wide to narrow.
class FreeCells
{
public:
    explicit FreeCells(const PlannedDataCentre &dataCentre)
        : m_planned(dataCentre)
    { }

    // Splits the remaining cells of the next wider level, and adds the cells of this level that a
    // worker has beside its wider ones.
    void splitInto(Level level)
    {
        const std::int64_t perWorker = m_planned.perWorker.accelerators;
        switch (level) {
        case Level::Rack:
            m_cells = m_planned.racks;
            break;
        case Level::Worker:
            m_cells *= m_planned.workersPerRack;
            break;
        case Level::Quad:
            m_workers = m_cells;
            m_cells = m_workers * (perWorker / 4);
            break;
        case Level::Pair:
            m_cells = 2 * m_cells + m_workers * (perWorker % 4 / 2);
            break;
        case Level::Accelerator:
            m_cells = 2 * m_cells + m_workers * (perWorker % 2);
            break;
        }
    }

    std::int64_t cells() const { return m_cells; }
    void take(std::int64_t count) { m_cells -= count; }

private:
    const PlannedDataCentre &m_planned;
    std::int64_t m_cells = 0;
    // Workers that no cell of level worker or rack takes.
    std::int64_t m_workers = 0;
};

// Taking the widest cells first is exact, because narrower cells fill what the wider ones leave
// without gaps.
bool fitsInto(const PlannedDataCentre &dataCentre, const std::vector<Account> &accounts)
{
    FreeCells free(dataCentre);
    for (const Level level : WidestFirst) {
        free.splitInto(level);
        const std::int64_t count = demanded(accounts, dataCentre.name, level);
        if (count > free.cells()) {
            core::fail(core::ResultCode::ConfigGuaranteesTooLarge,
                       absl::StrCat("the guarantees need ", count, " cells of level ",
                                    toString(level), " in ", dataCentre.name.str(), ", but ",
                                    free.cells(), " are left beside those of wider levels"));
            return false;
        }
        free.take(count);
    }
    return true;
}

} // namespace

bool guaranteesFit(const std::vector<PlannedDataCentre> &dataCentres,
                   const std::vector<Account> &accounts)
{
    for (const PlannedDataCentre &dataCentre : dataCentres) {
        if (!fitsInto(dataCentre, accounts))
            return false;
    }
    return true;
}

} // namespace oleandercross::config::detail
