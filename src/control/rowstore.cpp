#include <oleandercross/control/rowstore.h>

namespace oleandercross::control {

namespace {

constexpr int RowsPerPage = 500;

} // namespace

std::optional<RowPage> RowStore::table(const std::string &name, absl::Duration timeout)
{
    std::optional<RowPage> all;
    std::string from;
    while (true) {
        std::optional<RowPage> page = range(name, from, RowsPerPage, timeout);
        if (!page)
            return std::nullopt;
        const bool last = !page->more || page->rows.empty();
        if (!last)
            from = page->rows.back().key + '\0';
        if (!all)
            all = std::move(page);
        else
            all->rows.insert(all->rows.end(), page->rows.begin(), page->rows.end());
        if (last) {
            all->more = false;
            return all;
        }
    }
}

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
