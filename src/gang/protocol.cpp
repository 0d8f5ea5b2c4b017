#include <oleandercross/gang/protocol.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>

namespace oleandercross::gang {

namespace {

constexpr std::size_t NumericFieldCount = 6;

} // namespace

// The format is JOB/ATTEMPT/EPOCH/MEMBER/MEMBER_COUNT/TASK/TASK_COUNT. The job id may contain
// slashes.
std::string formatTaskId(const TaskIdentity &identity)
{
    return absl::StrCat(identity.key.job.str(), "/", identity.key.attempt, "/", identity.epoch, "/",
                        identity.member, "/", identity.memberCount, "/", identity.task, "/",
                        identity.taskCount);
}

std::optional<TaskIdentity> parseTaskId(const std::string &taskId)
{
    const auto invalidTaskId = [&taskId] {
        return core::fail(core::ResultCode::BadField,
                          "task id does not identify a gang task: " + taskId);
    };
    std::array<std::int64_t, NumericFieldCount> numbers = {};
    std::string rest = taskId;
    for (std::size_t i = NumericFieldCount; i-- > 0;) {
        const auto slash = rest.rfind('/');
        if (slash == std::string::npos || !absl::SimpleAtoi(rest.substr(slash + 1), &numbers[i]))
            return invalidTaskId();
        rest.resize(slash);
    }
    TaskIdentity identity;
    identity.key = {core::JobId(rest), static_cast<int>(numbers[0])};
    identity.epoch = numbers[1];
    identity.member = static_cast<int>(numbers[2]);
    identity.memberCount = static_cast<int>(numbers[3]);
    identity.task = static_cast<int>(numbers[4]);
    identity.taskCount = static_cast<int>(numbers[5]);
    const bool memberInRange = identity.member >= 0 && identity.member < identity.memberCount;
    const bool taskInRange = identity.task >= 0 && identity.task < identity.taskCount;
    if (rest.empty() || !memberInRange || !taskInRange || formatTaskId(identity) != taskId)
        return invalidTaskId();
    return identity;
}

} // namespace oleandercross::gang
