#include "taskcommand.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <vector>

namespace oleandercross::standin {

std::optional<TaskCommand> parseTaskCommand(const std::string &text)
{
    const std::vector<std::string> words = absl::StrSplit(text, ' ', absl::SkipEmpty());
    if (words.empty())
        return std::nullopt;
    TaskCommand command;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (words[i] == "never")
            continue;
        double number = 0;
        if (i + 1 == words.size() || !absl::SimpleAtod(words[i + 1], &number) || number < 0)
            return std::nullopt;
        if (words[i] == "run")
            command.run = absl::Seconds(number);
        else if (words[i] == "fail")
            command.fail = absl::Seconds(number);
        else if (words[i] == "checkpoint")
            command.checkpoint = absl::Seconds(number);
        else if (words[i] == "grow")
            command.growMb = static_cast<std::int64_t>(number);
        else
            return std::nullopt;
        ++i;
    }
    return command;
}

} // namespace oleandercross::standin
