#pragma once

#include <platform/faketables.h>

#include <oleandercross/core/clock.h>
#include <oleandercross/platform/storewriter.h>

#include <absl/synchronization/mutex.h>

namespace oleandercross::test {

// An in-memory table service that can simulate outages and lost answers. Thread safe.
class FakeTableService : public platform::TableService
{
public:
    void setOutage(bool outage)
    {
        absl::MutexLock lock(&m_mutex);
        m_outage = outage;
    }

    // The next `number` writes are applied, but their answers are lost.
    void loseAnswers(int number)
    {
        absl::MutexLock lock(&m_mutex);
        m_lost = number;
    }

    std::optional<std::optional<platform::Row>> read(const std::string &key) override
    {
        absl::MutexLock lock(&m_mutex);
        if (m_outage)
            return unavailable();
        return m_tables.read(key);
    }

    std::optional<std::vector<platform::Row>> scan(const std::string &prefix,
                                                   const std::string &after, int limit) override
    {
        absl::MutexLock lock(&m_mutex);
        if (m_outage)
            return unavailable();
        return m_tables.scan(prefix, after, limit);
    }

    std::optional<std::int64_t> write(const platform::Transaction &transaction) override
    {
        absl::MutexLock lock(&m_mutex);
        if (m_outage)
            return unavailable();
        const auto version = m_tables.write(transaction);
        if (!version)
            return core::fail(core::ResultCode::VersionConflict, "condition does not hold");
        if (m_lost > 0) {
            --m_lost;
            return core::fail(core::ResultCode::OutcomeUnknown, "answer lost");
        }
        return version;
    }

    std::optional<bool> applied(const platform::Transaction &transaction) override
    {
        absl::MutexLock lock(&m_mutex);
        if (m_outage)
            return unavailable();
        return m_tables.effects(transaction.writeId) > 0;
    }

private:
    static std::nullopt_t unavailable()
    {
        return core::fail(core::ResultCode::StoreUnavailable, "outage");
    }

    absl::Mutex m_mutex;
    FakeTables m_tables ABSL_GUARDED_BY(m_mutex);
    bool m_outage ABSL_GUARDED_BY(m_mutex) = false;
    int m_lost ABSL_GUARDED_BY(m_mutex) = 0;
};

inline platform::StoreWriterOptions fastWriterOptions(const std::string &process)
{
    platform::StoreWriterOptions options;
    options.process = process;
    options.writesPerSecond = 1000;
    options.readsPerSecond = 1000;
    options.backOff = absl::Milliseconds(1);
    options.maxBackOff = absl::Milliseconds(5);
    return options;
}

} // namespace oleandercross::test
