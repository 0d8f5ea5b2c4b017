#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <optional>
#include <string>

namespace oleandercross::standin {

// Exchanges the answers of two concurrent requests.
class AnswerSwap
{
public:
    // Returns the answer of the other request, or `own` if there is none within `wait`.
    std::string exchange(std::string own, absl::Duration wait)
    {
        absl::MutexLock lock(&m_mutex);
        if (m_waiting && !m_reply) {
            m_reply = std::move(own);
            return *std::exchange(m_waiting, std::nullopt);
        }
        if (m_waiting || m_reply)
            return own;
        m_waiting = own;
        if (!m_mutex.AwaitWithTimeout(
                absl::Condition(
                    +[](AnswerSwap *self) { return self->m_reply.has_value(); }, this),
                wait)) {
            m_waiting.reset();
            return own;
        }
        return *std::exchange(m_reply, std::nullopt);
    }

private:
    absl::Mutex m_mutex;
    std::optional<std::string> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::optional<std::string> m_reply ABSL_GUARDED_BY(m_mutex);
};

} // namespace oleandercross::standin
