#pragma once

#include <vector>

namespace oleandercross::gang {

// Division of a gang's members 0..n-1 into consecutive watch groups of nearly equal width.
class WatchGroups
{
public:
    explicit WatchGroups(int memberCount);

    int groupOf(int member) const { return member / m_width; }
    bool sameGroup(int a, int b) const { return groupOf(a) == groupOf(b); }

    // The members that `member` polls: its own group, and one member of every other group, chosen
    // so that the polls spread over that group.
    std::vector<int> watchedBy(int member) const;

private:
    int groupSize(int group) const;

    int m_count;
    int m_width;
};

} // namespace oleandercross::gang
