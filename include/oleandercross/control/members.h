#pragma once

#include <oleandercross/control/candidacy.h>
#include <oleandercross/control/rowstore.h>
#include <oleandercross/http/message.h>

#include <absl/synchronization/mutex.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::control {

enum class MemberRole { Entry, Agent };

// A process of the installation as registered in the member table.
struct Member
{
    std::string name;
    MemberRole role = MemberRole::Entry;
    http::Endpoint address;
    std::string incarnation;
    // The processor share of an entry in thousandths of a core; 0 if it is not known.
    std::int64_t milliCores = 0;

    friend bool operator==(const Member &, const Member &) = default;
};

std::string encodeMember(const Member &member);
// Fails with BadJson or BadField.
std::optional<Member> decodeMember(const std::string &name, const std::string &text);

// The processes of the installation, as read from the member table or announced directly. Known
// members are kept while the store is unavailable. Thread safe.
class Members
{
public:
    explicit Members(Member self);

    // Replaces the members that were read from the table before. Those that announced themselves
    // directly are kept, since the table does not have them yet.
    void replaceAll(const std::vector<StoredRow> &rows);
    void apply(const std::vector<StoredRow> &rows);
    // Adds a member that announced itself directly because it could not reach the store. It is
    // newer than all rows that have been read.
    void add(const Member &member);
    // Sets the addresses of entries that are used until the member table lists some.
    void setSeeds(std::vector<http::Endpoint> seeds);

    const Member &self() const { return m_self; }
    // Returns the addresses of the other entries.
    std::vector<http::Endpoint> peers() const;
    std::map<std::string, http::Endpoint> agents() const;
    // Returns all known entries, including this process.
    std::vector<Candidate> candidates() const;
    // Returns a number that increases with every update, so that callers can detect changes.
    std::int64_t version() const;

private:
    struct Known
    {
        Member member;
        bool announced = false;
        // The version of the member's row or, if it announced itself, of the newest row that had
        // been read before.
        std::int64_t version = 0;
    };

    void applyRow(const StoredRow &row) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Returns true if a member that announced itself later than the row was written has the row's
    // name or the given address.
    bool isOutdated(const StoredRow &row, const http::Endpoint &address) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Member m_self;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Known> m_members ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_newestRow ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<http::Endpoint> m_seeds ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_version ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace oleandercross::control
