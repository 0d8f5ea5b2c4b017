#include <oleandercross/telemetry/eventlog.h>

#include <oleandercross/core/clock.h>
#include <oleandercross/core/json.h>

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <easylogging++.h>

#include <deque>
#include <memory>
#include <thread>

namespace oleandercross::telemetry {

namespace {

constexpr std::size_t MaxQueuedLines = 2000;
// Token bucket that limits the lines written by one process: sustained rate and burst size.
constexpr double LinesPerSecond = 400;
constexpr double MaxBurstLines = 2000;

class LineWriter
{
public:
    explicit LineWriter(std::string process)
        : m_process(std::move(process))
        , m_thread([this] { run(); })
    { }

    ~LineWriter()
    {
        {
            absl::MutexLock lock(&m_mutex);
            m_stopping = true;
        }
        m_thread.join();
    }

    void write(Json::Value fields)
    {
        fields["process"] = m_process;
        absl::MutexLock lock(&m_mutex);
        const core::Instant now = m_clock.now();
        m_tokens = std::min(MaxBurstLines,
                            m_tokens + LinesPerSecond * absl::ToDoubleSeconds(now - m_lastRefill));
        m_lastRefill = now;
        if (m_lines.size() >= MaxQueuedLines || m_tokens < 1) {
            ++m_dropped;
            return;
        }
        m_tokens -= 1;
        m_lines.push_back(std::move(fields));
    }

    std::int64_t dropped() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_dropped;
    }

private:
    void run()
    {
        bool stopping = false;
        while (!stopping) {
            std::deque<Json::Value> lines;
            {
                absl::MutexLock lock(&m_mutex);
                m_mutex.Await(absl::Condition(this, &LineWriter::hasWork));
                lines.swap(m_lines);
                stopping = m_stopping;
            }
            for (const Json::Value &line : lines)
                LOG(INFO) << core::writeJson(line);
        }
    }

    bool hasWork() const { return m_stopping || !m_lines.empty(); }

    const std::string m_process;
    const core::SteadyClock m_clock;
    mutable absl::Mutex m_mutex;
    std::deque<Json::Value> m_lines ABSL_GUARDED_BY(m_mutex);
    double m_tokens ABSL_GUARDED_BY(m_mutex) = MaxBurstLines;
    core::Instant m_lastRefill ABSL_GUARDED_BY(m_mutex) = m_clock.now();
    std::int64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

std::unique_ptr<LineWriter> &writer()
{
    static std::unique_ptr<LineWriter> instance;
    return instance;
}

} // namespace

void startEventLog(const std::string &process)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    writer() = std::make_unique<LineWriter>(process);
}

void stopEventLog()
{
    writer().reset();
}

std::int64_t droppedEvents()
{
    return writer() ? writer()->dropped() : 0;
}

Event::Event(const char *name)
    : m_fields(Json::objectValue)
{
    m_fields["time"] = absl::FormatTime(
        "%Y-%m-%dT%H:%M:%E3SZ", absl::FromUnixMicros(core::wallClockMicros()), absl::UTCTimeZone());
    m_fields["event"] = name;
}

Event::~Event()
{
    if (writer())
        writer()->write(std::move(m_fields));
}

Event &Event::with(const char *field, const std::string &value)
{
    m_fields[field] = value;
    return *this;
}

Event &Event::with(const char *field, const char *value)
{
    m_fields[field] = value;
    return *this;
}

Event &Event::with(const char *field, std::int64_t value)
{
    m_fields[field] = static_cast<Json::Int64>(value);
    return *this;
}

Event &Event::with(const char *field, int value)
{
    m_fields[field] = value;
    return *this;
}

Event &Event::with(const char *field, bool value)
{
    m_fields[field] = value;
    return *this;
}

} // namespace oleandercross::telemetry
