#pragma once

#include <oleandercross/platform/tableservice.h>

namespace oleandercross::platform {

// Key prefix of marker rows.
constexpr char WriteMarkerPrefix[] = "write-marker/";

// Returns the put of the transaction's marker row, or null if it has none.
//
// A marker row identifies an applied write: the transaction also puts this row, with the write id
// as its value. The other rows may be overwritten by anyone at any time, so their values cannot
// prove that the transaction was not applied. Each marker row belongs to one writer, which reuses
// it only after the previous write is resolved, see StoreWriter.
const Put *markerOf(const Transaction &transaction);

} // namespace oleandercross::platform
