#include <oleandercross/workload/codec.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

namespace oleandercross::workload {

namespace {

Json::Value toJson(const Step &step)
{
    Json::Value value(Json::objectValue);
    value["tasks"] = step.tasks;
    value["demand"] = workload::toJson(step.perTask);
    value["estimate"] = static_cast<Json::Int64>(step.estimateMs);
    for (const int earlier : step.after)
        value["after"].append(earlier);
    if (step.gang)
        value["gang"] = true;
    if (step.sameRack)
        value["sameRack"] = true;
    if (step.checkpointable)
        value["checkpointable"] = true;
    if (step.speculative)
        value["speculative"] = true;
    if (!step.neededLabel.empty())
        value["label"] = step.neededLabel;
    if (!step.inputRack.empty())
        value["rack"] = step.inputRack;
    if (step.maxPerWorker > 0)
        value["perWorker"] = step.maxPerWorker;
    return value;
}

Step stepFromJson(const Json::Value &value)
{
    Step step;
    step.tasks = static_cast<int>(core::intMember(value, "tasks"));
    step.perTask = demandFromJson(core::member(value, "demand"));
    step.estimateMs = core::intMember(value, "estimate");
    for (const Json::Value &earlier : core::member(value, "after"))
        step.after.push_back(earlier.isInt() ? earlier.asInt() : -1);
    step.gang = core::boolMember(value, "gang");
    step.sameRack = core::boolMember(value, "sameRack");
    step.checkpointable = core::boolMember(value, "checkpointable");
    step.speculative = core::boolMember(value, "speculative");
    step.neededLabel = core::stringMember(value, "label");
    step.inputRack = core::stringMember(value, "rack");
    step.maxPerWorker = static_cast<int>(core::intMember(value, "perWorker"));
    return step;
}

Json::Value toJson(const QueueTerms &terms)
{
    Json::Value value(Json::objectValue);
    value["service"] = terms.service;
    value["priority"] = terms.priority;
    value["attempts"] = terms.attempts;
    value["stretch"] = terms.stretch;
    value["target"] = static_cast<Json::Int64>(terms.targetMs);
    return value;
}

QueueTerms termsFromJson(const Json::Value &value)
{
    QueueTerms terms;
    terms.service = core::stringMember(value, "service");
    terms.priority = static_cast<int>(core::intMember(value, "priority"));
    terms.attempts = static_cast<int>(core::intMember(value, "attempts", 1));
    terms.stretch = core::doubleMember(value, "stretch", 1);
    terms.targetMs = core::intMember(value, "target");
    return terms;
}

} // namespace

Json::Value toJson(const Demand &demand)
{
    Json::Value value(Json::arrayValue);
    value.append(static_cast<Json::Int64>(demand.milliCores));
    value.append(static_cast<Json::Int64>(demand.memoryMb));
    value.append(static_cast<Json::Int64>(demand.accelerators));
    return value;
}

Demand demandFromJson(const Json::Value &value)
{
    if (!value.isArray() || value.size() != 3)
        return {};
    const auto at = [&value](Json::ArrayIndex i) {
        return value[i].isInt64() ? value[i].asInt64() : 0;
    };
    return {at(0), at(1), at(2)};
}

std::string encodeJob(const Job &job)
{
    Json::Value value(Json::objectValue);
    value["account"] = job.account;
    value["queue"] = job.queue;
    value["terms"] = toJson(job.terms);
    value["payload"] = job.payload;
    for (const Step &step : job.steps)
        value["steps"].append(toJson(step));
    if (job.scheduled) {
        value["occurrences"] = job.occurrences;
        value["firstDue"] = static_cast<Json::Int64>(job.firstDueMs);
        value["interval"] = static_cast<Json::Int64>(job.intervalMs);
    }
    value["accepted"] = static_cast<Json::Int64>(job.acceptedMs);
    return core::writeJson(value);
}

std::optional<Job> decodeJob(const std::string &id, const std::string &text)
{
    const std::optional<Json::Value> value = core::parseJson(text);
    if (!value)
        return std::nullopt;
    if (!value->isObject())
        return core::fail(core::ResultCode::BadField, "job " + id + ": the row is not an object");
    Job job;
    job.id = id;
    job.account = core::stringMember(*value, "account");
    job.queue = core::stringMember(*value, "queue");
    job.terms = termsFromJson(core::member(*value, "terms"));
    job.payload = core::stringMember(*value, "payload");
    for (const Json::Value &step : core::member(*value, "steps"))
        job.steps.push_back(stepFromJson(step));
    job.scheduled = value->isMember("occurrences");
    job.occurrences = static_cast<int>(core::intMember(*value, "occurrences", 1));
    job.firstDueMs = core::intMember(*value, "firstDue");
    job.intervalMs = core::intMember(*value, "interval");
    job.acceptedMs = core::intMember(*value, "accepted");
    if (const auto defect = findDefect(job))
        return core::fail(core::ResultCode::BadField, "job " + id + ": " + *defect);
    return job;
}

} // namespace oleandercross::workload
