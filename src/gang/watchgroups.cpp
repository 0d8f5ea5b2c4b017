#include "watchgroups.h"

#include <oleandercross/gang/protocol.h>

#include <algorithm>

namespace oleandercross::gang {

namespace {

// The smallest width whose square is at least `count` minimizes the number of polls.
int groupWidth(int count)
{
    if (count <= DirectWatchMaxMembers)
        return std::max(count, 1);
    int width = 1;
    while (width * width < count)
        ++width;
    return width;
}

} // namespace

WatchGroups::WatchGroups(int memberCount)
    : m_count(memberCount)
    , m_width(groupWidth(memberCount))
{ }

int WatchGroups::groupSize(int group) const
{
    return std::min(m_width, m_count - group * m_width);
}

std::vector<int> WatchGroups::watchedBy(int member) const
{
    std::vector<int> watched;
    const int own = groupOf(member);
    for (int group = 0; group * m_width < m_count; ++group) {
        const int first = group * m_width;
        if (group != own) {
            watched.push_back(first + member % m_width % groupSize(group));
            continue;
        }
        for (int neighbour = first; neighbour < first + groupSize(group); ++neighbour) {
            if (neighbour != member)
                watched.push_back(neighbour);
        }
    }
    return watched;
}

} // namespace oleandercross::gang
