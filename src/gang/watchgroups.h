#pragma once

#include <vector>

namespace oleandercross::gang {

// Divides a gang's members 0..n-1 into consecutive watch groups of nearly equal size.
class WatchGroups
{
public:
    explicit WatchGroups(int memberCount);

    int groupOf(int member) const { return member / m_width; }
    bool sameGroup(int a, int b) const { return groupOf(a) == groupOf(b); }

    // Returns the members that `member` polls: the other members of its own group and one member of
    // every other group. The polls of a group are spread evenly over the members of the other
    // group.
    std::vector<int> watchedBy(int member) const;

private:
    int groupSize(int group) const;

    int m_count;
    int m_width;
};

} // namespace oleandercross::gang
