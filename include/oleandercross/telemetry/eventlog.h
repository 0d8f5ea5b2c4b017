#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>

namespace oleandercross::telemetry {

// Starts structured logging on standard output: one JSON object per line with the time, the
// process, the name of the event and its fields. A background thread writes the lines from a
// bounded queue, so logging never blocks. Lines are dropped and counted when the queue is full or
// the rate limit is exceeded.
void startEventLog(const std::string &process);

// Writes all queued lines and stops the background thread.
void stopEventLog();

// Returns the number of lines dropped since the start.
std::int64_t droppedEvents();

// Builds one line of the event log. The destructor queues the line, so a temporary writes it at
// the end of the statement: `Event("job_accepted").with("job", id).with("queue", queue);`
class Event
{
public:
    explicit Event(const char *name);
    ~Event();
    Event(const Event &) = delete;
    Event &operator=(const Event &) = delete;

    Event &with(const char *field, const std::string &value);
    Event &with(const char *field, const char *value);
    Event &with(const char *field, std::int64_t value);
    Event &with(const char *field, int value);
    Event &with(const char *field, bool value);

private:
    Json::Value m_fields;
};

} // namespace oleandercross::telemetry
