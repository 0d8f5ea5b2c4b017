#include <oleandercross/control/agentmessages.h>

#include <oleandercross/core/json.h>
#include <oleandercross/core/resultcode.h>
#include <oleandercross/workload/codec.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace oleandercross::control {

namespace {

constexpr std::array<const char *, 7> OutcomeNames = {
    "done", "refused", "unanswered", "not sent", "gone", "other life", "fenced"};
constexpr std::array<const char *, 7> ResultNames = {
    "done", "refused", "unanswered", "absent", "not applicable", "data centre closed", "not sent"};

// The number of bits of a fencing token that hold the number of the term; the token stays below
// 2^53, up to which JSON numbers are exact everywhere.
constexpr int TermNumberBits = 20;
constexpr std::int64_t MaxTermNumber = (std::int64_t{1} << TermNumberBits) - 1;
constexpr int LastRunEnd = static_cast<int>(planning::RunEnd::Alone);
// The longest time for which an agent delays its response to a watch call.
constexpr std::int64_t MaxWatchWaitMs = 10000;

Json::Int64 toMilliseconds(absl::Duration duration)
{
    return duration == absl::InfiniteDuration() ? -1 : absl::ToInt64Milliseconds(duration);
}

absl::Duration durationFromMilliseconds(std::int64_t milliseconds)
{
    return milliseconds < 0 ? absl::InfiniteDuration() : absl::Milliseconds(milliseconds);
}

Json::Value toJson(const WorkerReport &worker)
{
    Json::Value value(Json::objectValue);
    value["id"] = worker.id;
    value["born"] = static_cast<Json::Int64>(worker.startedAtMs);
    value["address"] = toString(worker.address);
    value["service"] = worker.service;
    value["rack"] = worker.rack;
    value["dataCentre"] = worker.dataCentre;
    value["warmIn"] = toMilliseconds(worker.warmUpRemaining);
    for (const std::string &label : worker.labels)
        value["labels"].append(label);
    value["capacity"] = workload::toJson(worker.capacity);
    value["draining"] = worker.draining;
    value["leavesIn"] = toMilliseconds(worker.drainRemaining);
    return value;
}

std::optional<WorkerReport> workerFromJson(const Json::Value &value)
{
    const auto address = http::parseEndpoint(core::stringMember(value, "address"));
    if (!address)
        return std::nullopt;
    const auto id = core::requiredString(value, "id");
    const auto startedAtMs = core::requiredInt(value, "born");
    const auto service = core::requiredString(value, "service");
    const auto leavesInMs = core::optionalInt(value, "leavesIn", -1, {-1, core::MaxExactInt});
    const auto warmInMs = core::optionalInt(value, "warmIn", 0, {0, core::MaxExactInt});
    const auto capacity = workload::demandFromJson(core::member(value, "capacity"));
    if (!id || !startedAtMs || !service || !leavesInMs || !warmInMs || !capacity)
        return std::nullopt;
    WorkerReport worker;
    worker.id = *id;
    worker.startedAtMs = *startedAtMs;
    worker.address = *address;
    worker.service = *service;
    worker.rack = core::stringMember(value, "rack");
    worker.dataCentre = core::stringMember(value, "dataCentre");
    worker.warmUpRemaining = absl::Milliseconds(*warmInMs);
    for (const Json::Value &label : core::member(value, "labels"))
        worker.labels.push_back(label.isString() ? label.asString() : std::string());
    worker.capacity = *capacity;
    worker.draining = core::boolMember(value, "draining");
    worker.drainRemaining = durationFromMilliseconds(*leavesInMs);
    return worker;
}

void putTerm(Json::Value &value, const Term &term)
{
    value["epoch"] = static_cast<Json::Int64>(term.epoch);
    value["term"] = static_cast<Json::Int64>(term.number);
}

std::optional<Term> termFromJson(const Json::Value &value)
{
    const auto epoch = core::requiredInt(value, "epoch");
    const auto number = core::requiredInt(value, "term", {0, MaxTermNumber});
    if (!epoch || !number)
        return std::nullopt;
    return Term{*epoch, *number};
}

Json::Value runToJson(const workload::RunKey &run)
{
    Json::Value row(Json::arrayValue);
    row.append(toString(run.task));
    row.append(run.run);
    return row;
}

template <typename Call>
void putClosed(Json::Value &value, const Call &call)
{
    if (call.closed.version >= 0)
        value["closed"] = toJson(call.closed);
    if (call.startsUntilMs != NoStartLimit)
        value["startsUntil"] = static_cast<Json::Int64>(call.startsUntilMs);
}

// Returns a set without a version if the call has none. Fails with BadField.
std::optional<ClosedDataCentres> closedIn(const Json::Value &value)
{
    if (!value.isObject() || !value.isMember("closed"))
        return ClosedDataCentres{};
    return closedDataCentresFromJson(core::member(value, "closed"));
}

std::optional<workload::RunKey> runFromJson(const Json::Value &row)
{
    if (!row.isArray() || row.size() < 2 || !row[0U].isString() || !row[1U].isInt()
        || row[1U].asInt() < 1)
        return core::fail(core::ResultCode::BadField,
                          "a row does not contain a task and a run number");
    const auto task = workload::parseTaskKey(row[0U].asString());
    if (!task)
        return std::nullopt;
    return workload::RunKey{*task, row[1U].asInt()};
}

} // namespace

const char *toString(OrderOutcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

const char *toString(OrderResult result)
{
    return ResultNames.at(static_cast<std::size_t>(result));
}

std::int64_t fencingToken(const Term &term)
{
    return (term.epoch << TermNumberBits) + std::min(term.number, MaxTermNumber);
}

std::string incarnationKey(const std::string &agent, const WorkerReport &worker)
{
    return absl::StrCat(agent, "/", worker.id, "/", worker.startedAtMs);
}

OrderResult orderResultFromJson(const Json::Value &value)
{
    constexpr int LastResult = static_cast<int>(OrderResult::NotSent);
    const bool known = value.isInt() && value.asInt() >= 0 && value.asInt() <= LastResult;
    return known ? static_cast<OrderResult>(value.asInt()) : OrderResult::Unanswered;
}

Json::Value addressedTo(const std::string &agent, Json::Value call)
{
    call["agent"] = agent;
    return call;
}

bool isAddressedTo(const std::string &agent, const Json::Value &call)
{
    if (core::stringMember(call, "agent") == agent)
        return true;
    core::fail(core::ResultCode::BadField, "the call is for another agent than " + agent);
    return false;
}

Json::Value toJson(const WatchCall &call)
{
    Json::Value value(Json::objectValue);
    putTerm(value, call.term);
    value["renewUntil"] = static_cast<Json::Int64>(call.renewUntilMs);
    value["since"] = static_cast<Json::Int64>(call.since);
    value["incarnation"] = call.agentIncarnation;
    value["wait"] = toMilliseconds(call.wait);
    for (const std::string &service : call.unknownServices)
        value["unknownServices"].append(service);
    putClosed(value, call);
    return value;
}

WatchCall watchCallFromJson(const Json::Value &value)
{
    WatchCall call;
    call.term = termFromJson(value).value_or(Term{});
    call.renewUntilMs = core::intMember(value, "renewUntil");
    call.since = core::intMember(value, "since");
    call.agentIncarnation = core::stringMember(value, "incarnation");
    call.wait = absl::Milliseconds(
        std::clamp<std::int64_t>(core::intMember(value, "wait"), 0, MaxWatchWaitMs));
    for (const Json::Value &service : core::member(value, "unknownServices")) {
        if (service.isString())
            call.unknownServices.push_back(service.asString());
    }
    call.closed = closedIn(value).value_or(ClosedDataCentres{});
    call.startsUntilMs = core::intMember(value, "startsUntil", NoStartLimit);
    return call;
}

Json::Value toJson(const AgentState &state)
{
    Json::Value value(Json::objectValue);
    value["incarnation"] = state.incarnation;
    value["clock"] = static_cast<Json::Int64>(state.clockMs);
    value["version"] = static_cast<Json::Int64>(state.version);
    putTerm(value, state.term);
    if (state.worker)
        value["worker"] = toJson(*state.worker);
    value["gone"] = state.workerLost;
    value["crashed"] = state.workerCrashed;
    value["listed"] = state.listed;
    value["listedAge"] = toMilliseconds(state.runListAge);
    for (const RunningTask &task : state.runs.running) {
        Json::Value row = runToJson(task.run);
        row.append(task.checkpoint);
        row.append(task.percent);
        value["running"].append(row);
    }
    for (const EndedTask &task : state.runs.ended) {
        Json::Value row = runToJson(task.run);
        row.append(static_cast<Json::Int64>(task.number));
        row.append(static_cast<int>(task.how));
        row.append(task.checkpoint);
        value["ended"].append(row);
    }
    value["moreEnded"] = state.runs.moreEnded;
    for (const workload::RunKey &run : state.lateStarts)
        value["lateStarts"].append(runToJson(run));
    return value;
}

std::optional<AgentState> agentStateFromJson(const Json::Value &value)
{
    const auto incarnation = core::requiredString(value, "incarnation");
    const auto clockMs = core::requiredInt(value, "clock");
    const auto version = core::requiredInt(value, "version");
    const auto listAgeMs = core::optionalInt(value, "listedAge", 0, {-1, core::MaxExactInt});
    const auto term = termFromJson(value);
    if (!incarnation || !clockMs || !version || !listAgeMs || !term)
        return std::nullopt;
    AgentState state;
    state.incarnation = *incarnation;
    state.clockMs = *clockMs;
    state.version = *version;
    state.term = *term;
    const Json::Value &worker = core::member(value, "worker");
    if (worker.isObject()) {
        state.worker = workerFromJson(worker);
        if (!state.worker)
            return std::nullopt;
    }
    state.workerLost = core::boolMember(value, "gone");
    state.workerCrashed = core::boolMember(value, "crashed");
    state.listed = core::boolMember(value, "listed");
    state.runListAge = durationFromMilliseconds(*listAgeMs);
    for (const Json::Value &row : core::member(value, "running")) {
        const auto run = runFromJson(row);
        if (!run || row.size() != 4 || !row[2U].isString() || !row[3U].isInt())
            return core::fail(core::ResultCode::BadField,
                              "the row of a running task has the wrong size or types");
        state.runs.running.push_back({*run, row[2U].asString(), row[3U].asInt()});
    }
    for (const Json::Value &row : core::member(value, "ended")) {
        const auto run = runFromJson(row);
        if (!run || row.size() != 5 || !row[2U].isInt64() || row[2U].asInt64() < 1
            || !row[3U].isInt() || row[3U].asInt() < 0 || row[3U].asInt() > LastRunEnd
            || !row[4U].isString())
            return core::fail(core::ResultCode::BadField,
                              "the row of an ended task has the wrong size, types or numbers");
        state.runs.ended.push_back({row[2U].asInt64(), *run,
                                    static_cast<planning::RunEnd>(row[3U].asInt()),
                                    row[4U].asString()});
    }
    state.runs.moreEnded = core::boolMember(value, "moreEnded");
    for (const Json::Value &row : core::member(value, "lateStarts")) {
        const auto run = runFromJson(row);
        if (!run)
            return std::nullopt;
        state.lateStarts.push_back(*run);
    }
    return state;
}

Json::Value toJson(const OrderCall &call)
{
    Json::Value value(Json::objectValue);
    putTerm(value, call.term);
    value["renewUntil"] = static_cast<Json::Int64>(call.renewUntilMs);
    value["life"] = call.workerIncarnation;
    value["acknowledged"] = static_cast<Json::Int64>(call.acknowledged);
    for (const planning::Order &order : call.orders) {
        Json::Value row = runToJson(order.run);
        row.append(order.kind == planning::Order::Kind::Start);
        row.append(order.payload);
        row.append(order.checkpoint);
        value["orders"].append(row);
    }
    putClosed(value, call);
    return value;
}

std::optional<OrderCall> orderCallFromJson(const Json::Value &value)
{
    const auto term = termFromJson(value);
    const auto renewUntilMs = core::requiredInt(value, "renewUntil");
    const auto acknowledged = core::requiredInt(value, "acknowledged");
    auto closed = closedIn(value);
    const auto startsUntilMs =
        core::optionalInt(value, "startsUntil", NoStartLimit, {-core::MaxExactInt});
    if (!term || !renewUntilMs || !acknowledged || !closed || !startsUntilMs)
        return std::nullopt;
    OrderCall call;
    call.closed = *std::move(closed);
    call.startsUntilMs = *startsUntilMs;
    call.term = *term;
    call.renewUntilMs = *renewUntilMs;
    call.workerIncarnation = core::stringMember(value, "life");
    call.acknowledged = *acknowledged;
    for (const Json::Value &row : core::member(value, "orders")) {
        const auto run = runFromJson(row);
        if (!run || row.size() != 5 || !row[2U].isBool() || !row[3U].isString()
            || !row[4U].isString())
            return core::fail(core::ResultCode::BadField,
                              "the row of an order has the wrong size or types");
        planning::Order order;
        order.run = *run;
        order.kind = row[2U].asBool() ? planning::Order::Kind::Start : planning::Order::Kind::Stop;
        order.payload = row[3U].asString();
        order.checkpoint = row[4U].asString();
        call.orders.push_back(std::move(order));
    }
    return call;
}

} // namespace oleandercross::control
