#pragma once

#include <oleandercross/control/rowstore.h>
#include <oleandercross/http/message.h>

#include <absl/synchronization/mutex.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandercross::control {

enum class MemberRole { Entry, Agent };

// A process of the installation, as it announces itself in the member table.
struct Member
{
    std::string name;
    MemberRole role = MemberRole::Entry;
    http::Endpoint address;
    std::string incarnation;

    friend bool operator==(const Member &, const Member &) = default;
};

std::string encodeMember(const Member &member);
// Fails with BadJson or BadField.
std::optional<Member> decodeMember(const std::string &name, const std::string &text);

// The processes of the installation that this one knows. The store is where they find each other;
// what was learned stays known while the store is away. Thread safe.
class Members
{
public:
    explicit Members(Member own);

    void replaceAll(const std::vector<StoredRow> &rows);
    void apply(const std::vector<StoredRow> &rows);
    // Learned from the process itself while it could not reach the store.
    void add(const Member &member);
    // Addresses from the settings, used as entries until the store names some.
    void setSeeds(std::vector<http::Endpoint> seeds);

    const Member &own() const { return m_own; }
    // The addresses of the other entries.
    std::vector<http::Endpoint> peers() const;
    std::map<std::string, http::Endpoint> agents() const;
    // Counts changes, so that a reader can tell whether there were any.
    std::int64_t version() const;

private:
    void applyRow(const StoredRow &row) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Member m_own;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Member> m_members ABSL_GUARDED_BY(m_mutex);
    std::vector<http::Endpoint> m_seeds ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_version ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace oleandercross::control
