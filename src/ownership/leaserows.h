#pragma once

#include <oleandercross/ownership/leaseholder.h>

#include <string>

namespace oleandercross::ownership {

// Value of the row lease/<data centre id>.
struct LeaseValue
{
    std::string holder;
    std::int64_t incarnation = 0;
    Epoch epoch = 0;
    // Id of the write that stored the row.
    std::string writeId;
    bool released = false;
};

std::string leaseKey(const core::DataCentreId &dataCentre);
std::string epochKey(const core::DataCentreId &dataCentre);

std::string formatLease(const LeaseValue &value);
// Returns nullopt if the text is malformed, as parseEpoch() does.
std::optional<LeaseValue> parseLease(const std::string &text);

std::string formatEpoch(Epoch epoch);
std::optional<Epoch> parseEpoch(const std::string &text);

} // namespace oleandercross::ownership
