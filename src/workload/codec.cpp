#include <oleandercross/workload/codec.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>

#include <limits>

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

constexpr core::IntRange CountRange{0, std::numeric_limits<std::int32_t>::max()};

std::optional<Step> stepFromJson(const Json::Value &value)
{
    const auto tasks = core::requiredInt(value, "tasks", CountRange);
    const auto perTask = demandFromJson(core::member(value, "demand"));
    const auto estimateMs = core::requiredInt(value, "estimate");
    const auto maxPerWorker = core::optionalInt(value, "perWorker", 0, CountRange);
    if (!tasks || !perTask || !estimateMs || !maxPerWorker)
        return std::nullopt;
    Step step;
    step.tasks = static_cast<int>(*tasks);
    step.perTask = *perTask;
    step.estimateMs = *estimateMs;
    for (const Json::Value &earlier : core::member(value, "after"))
        step.after.push_back(earlier.isInt() ? earlier.asInt() : -1);
    step.gang = core::boolMember(value, "gang");
    step.sameRack = core::boolMember(value, "sameRack");
    step.checkpointable = core::boolMember(value, "checkpointable");
    step.speculative = core::boolMember(value, "speculative");
    step.neededLabel = core::stringMember(value, "label");
    step.inputRack = core::stringMember(value, "rack");
    step.maxPerWorker = static_cast<int>(*maxPerWorker);
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

std::optional<QueueTerms> termsFromJson(const Json::Value &value)
{
    const auto service = core::requiredString(value, "service");
    const auto priority = core::requiredInt(value, "priority", CountRange);
    const auto attempts = core::requiredInt(value, "attempts", CountRange);
    const auto targetMs = core::requiredInt(value, "target");
    if (!service || !priority || !attempts || !targetMs)
        return std::nullopt;
    return QueueTerms{*service, static_cast<int>(*priority), static_cast<int>(*attempts),
                      core::doubleMember(value, "stretch", -1), *targetMs};
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

std::optional<Demand> demandFromJson(const Json::Value &value)
{
    const auto valid = [](const Json::Value &number) {
        return number.isInt64() && number.asInt64() >= 0 && number.asInt64() <= MaxDemand;
    };
    if (!value.isArray() || value.size() != 3 || !valid(value[0U]) || !valid(value[1U])
        || !valid(value[2U]))
        return core::fail(core::ResultCode::BadField, "a demand is not three numbers in range");
    return Demand{value[0U].asInt64(), value[1U].asInt64(), value[2U].asInt64()};
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
    const auto terms = termsFromJson(core::member(*value, "terms"));
    const auto occurrences = core::optionalInt(*value, "occurrences", 1, CountRange);
    const auto firstDueMs = core::optionalInt(*value, "firstDue", 0);
    const auto intervalMs = core::optionalInt(*value, "interval", 0);
    const auto acceptedMs = core::requiredInt(*value, "accepted");
    if (!terms || !occurrences || !firstDueMs || !intervalMs || !acceptedMs)
        return std::nullopt;
    Job job;
    job.id = id;
    job.account = core::stringMember(*value, "account");
    job.queue = core::stringMember(*value, "queue");
    job.terms = *terms;
    job.payload = core::stringMember(*value, "payload");
    for (const Json::Value &element : core::member(*value, "steps")) {
        auto step = stepFromJson(element);
        if (!step)
            return std::nullopt;
        job.steps.push_back(*std::move(step));
    }
    job.scheduled = value->isMember("occurrences");
    job.occurrences = static_cast<int>(*occurrences);
    job.firstDueMs = *firstDueMs;
    job.intervalMs = *intervalMs;
    job.acceptedMs = *acceptedMs;
    if (const auto defect = findDefect(job))
        return core::fail(core::ResultCode::BadField, "job " + id + ": " + *defect);
    return job;
}

} // namespace oleandercross::workload
