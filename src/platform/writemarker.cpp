#include <oleandercross/platform/writemarker.h>

#include <algorithm>

namespace oleandercross::platform {

const Put *markerOf(const Transaction &transaction)
{
    const auto it = std::find_if(
        transaction.puts.begin(), transaction.puts.end(), [&transaction](const Put &put) {
            return put.key.rfind(WriteMarkerPrefix, 0) == 0 && put.value == transaction.writeId;
        });
    return it == transaction.puts.end() ? nullptr : &*it;
}

} // namespace oleandercross::platform
