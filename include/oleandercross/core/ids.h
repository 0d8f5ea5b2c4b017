#pragma once

#include <absl/hash/hash.h>

#include <compare>
#include <string>
#include <utility>

namespace oleandercross::core {

// A strongly typed string identifier: ids with different tags are not interchangeable.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const Id &, const Id &) = default;

    template <typename H>
    friend H AbslHashValue(H state, const Id &id)
    {
        return H::combine(std::move(state), id.m_value);
    }

private:
    std::string m_value;
};

using AccountId = Id<struct AccountTag>;
using TeamId = Id<struct TeamTag>;
using ServiceId = Id<struct ServiceTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RackId = Id<struct RackTag>;
using WorkerId = Id<struct WorkerTag>;
using MinionId = Id<struct MinionTag>;
using AgentId = Id<struct AgentTag>;
using EntryId = Id<struct EntryTag>;
using JobId = Id<struct JobTag>;
using RequestId = Id<struct RequestTag>;

} // namespace oleandercross::core
