#pragma once

#include <oleandercross/platform/tableservice.h>

namespace oleandercross::platform {

// Keys of marker rows start with this prefix.
constexpr char WriteMarkerPrefix[] = "write-marker/";

// The put of the transaction's marker row, or null if it has none.
//
// A write is recognised by a row of its own that it puts in the same transaction and whose value is
// the write id. The rows that the transaction is about may be overwritten by others at any time, so
// their values cannot prove that it was not applied. Marker rows belong to one writer, which uses
// them again only after the write before is resolved, see StoreWriter.
const Put *markerOf(const Transaction &transaction);

} // namespace oleandercross::platform
