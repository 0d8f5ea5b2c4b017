#include <oleandercross/control/rowstore.h>

namespace oleandercross::control {

std::optional<std::optional<StoredRow>> RowStore::row(const std::string &table,
                                                      const std::string &key,
                                                      absl::Duration timeout)
{
    const std::optional<RowPage> page = range(table, key, 1, timeout);
    if (!page)
        return std::nullopt;
    if (page->rows.empty() || page->rows.front().key != key)
        return std::optional<StoredRow>();
    return page->rows.front();
}

} // namespace oleandercross::control
