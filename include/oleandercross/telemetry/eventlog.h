#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>

namespace oleandercross::telemetry {

// Starts structured logging on standard output: one JSON object a line with time, process, event
// and the fields of the event. Lines are written by a thread of their own from a bounded queue, so
// that logging never blocks; lines that find the queue full, or that exceed the rate, are counted
// and dropped.
void startEventLog(const std::string &process);

// Writes what is queued and ends the thread.
void stopEventLog();

// Lines dropped so far.
std::int64_t droppedEvents();

// One line of the event log, written at the end of the statement that builds it:
// `Event("job_accepted").with("job", id).with("queue", queue);`
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
