#include <oleandercross/platform/detail/writequeue.h>

#include <platform/faketables.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <deque>

using namespace oleandercross;
using core::ResultCode;
using platform::WriteOutcome;
using platform::WritePriority;
using platform::detail::StoreCall;
using platform::detail::WriteQueue;

namespace {

constexpr int Keys = 3;

platform::StoreWriterOptions fuzzOptions()
{
    platform::StoreWriterOptions options;
    options.process = "p";
    options.writesPerSecond = 50;
    options.writeBurst = 4;
    options.readsPerSecond = 100;
    options.readBurst = 4;
    options.maxQueued = 6;
    options.markerSlots = 2;
    options.leaseMarkerSlots = 1;
    return options;
}

struct SubmittedWrite
{
    std::string writeId;
    bool longDeadline = false;
    bool conditional = false;
    std::optional<platform::WriteResult> result;
};

// A write queue, a table service and the calls in flight between them.
class System
{
public:
    void submit(int priority, int key, int mode, bool longDeadline)
    {
        const std::string writeId = absl::StrCat("w", ++m_writes);
        platform::Transaction transaction{writeId, {}, {{keyName(key), writeId}}, {}};
        if (mode == 1)
            transaction.conditions.push_back({keyName(key), m_tables.versionOf(keyName(key))});
        if (mode == 2)
            transaction.conditions.push_back({keyName(key), 0});
        const absl::Duration timeout = longDeadline ? absl::Hours(10) : absl::Seconds(1);
        const std::uint64_t id =
            m_queue->submit(transaction, static_cast<WritePriority>(priority), m_now + timeout);
        m_submitted[{m_generation, id}] = {writeId, longDeadline, mode != 0, std::nullopt};
        collect();
    }

    void pump(bool leaseOnly)
    {
        const auto call = m_queue->nextCall(m_now, leaseOnly);
        if (call) {
            (call->isRead ? m_readCalls : m_writeCalls) += 1;
            checkRateLimits();
            m_calls.push_back(*call);
        }
    }

    void advance(absl::Duration by)
    {
        m_now += by;
        m_queue->expire(m_now);
        collect();
    }

    enum class Fate { Answered, Refused, Lost, Late };

    // Completes one of the calls in flight.
    void settle(int index, Fate fate)
    {
        if (m_calls.empty())
            return;
        const auto it = m_calls.begin() + index % static_cast<int>(m_calls.size());
        const StoreCall call = *it;
        m_calls.erase(it);
        settle(call, fate);
        collect();
    }

    // A write that the queue has timed out reaches the service late, optionally after the rows that
    // its conditions conflict with were removed.
    void arrive(int index, bool clear)
    {
        if (m_delayedWrites.empty())
            return;
        for (int key = 0; clear && key < Keys; ++key)
            changeRow(key, true);
        const auto it = m_delayedWrites.begin() + index % static_cast<int>(m_delayedWrites.size());
        m_tables.write(*it);
        m_delayedWrites.erase(it);
    }

    void changeRow(int key, bool remove)
    {
        platform::Transaction transaction;
        transaction.writeId = "other";
        if (remove)
            transaction.deletes = {keyName(key)};
        else
            transaction.puts = {{keyName(key), "other"}};
        m_tables.write(transaction);
    }

    // Another process with the same name uses a marker row.
    void useMarker(int slot)
    {
        m_tables.write({"foreign", {}, {{absl::StrCat("write-marker/p/", slot), "foreign"}}, {}});
        m_markerShared = true;
    }

    // The process exits with calls in flight and restarts under the same name.
    void restart()
    {
        m_queue->stop();
        collect();
        for (const StoreCall &call : m_calls) {
            if (!call.isRead)
                m_delayedWrites.push_back(call.transaction);
        }
        m_calls.clear();
        m_queue = std::make_unique<WriteQueue>(fuzzOptions());
        ++m_generation;
        m_started = m_now;
        m_readCalls = 0;
        m_writeCalls = 0;
    }

    // Lets all calls succeed until the queue is empty, then delivers the delayed writes.
    void runToCompletion()
    {
        for (int i = 0; i < 5000 && m_queue->statistics().queued > 0; ++i) {
            pump(false);
            settle(0, Fate::Answered);
            const core::Instant due = m_queue->nextDue(m_now, false);
            if (m_calls.empty() && due != absl::InfiniteFuture())
                advance(std::max(absl::ZeroDuration(), due - m_now));
        }
        RC_ASSERT(m_queue->statistics().queued == 0);
        while (!m_delayedWrites.empty())
            arrive(0, true);
    }

    // Every write has exactly one outcome, which remains correct after all delayed writes.
    void check() const
    {
        for (const auto &[id, write] : m_submitted) {
            RC_ASSERT(write.result.has_value());
            const int effects = m_tables.effects(write.writeId);
            switch (write.result->outcome) {
            case WriteOutcome::Applied:
                RC_ASSERT(effects == 1);
                break;
            case WriteOutcome::Unknown:
                RC_ASSERT(effects <= 1);
                break;
            default:
                RC_ASSERT(effects == 0);
            }
            // A conflict on the marker row is not a conflict of the write.
            if (!write.conditional)
                RC_ASSERT(write.result->outcome != WriteOutcome::Conflict);
            // Without a second process, a write stays unknown only because of its deadline.
            if (write.longDeadline && m_generation == 0 && !m_markerShared)
                RC_ASSERT(write.result->outcome != WriteOutcome::Unknown);
        }
        RC_ASSERT(m_tables.markerCount() <= 3);
    }

private:
    static std::string keyName(int key) { return absl::StrCat("k", key % Keys); }

    void settle(const StoreCall &call, Fate fate)
    {
        if (call.isRead) {
            std::optional<std::optional<platform::Row>> row;
            if (fate == Fate::Answered)
                row.emplace(m_tables.read(call.key));
            m_queue->onRead(call.id, row, m_now);
            return;
        }
        std::optional<std::int64_t> version;
        ResultCode code = ResultCode::OutcomeUnknown;
        if (fate == Fate::Answered || fate == Fate::Lost)
            version = m_tables.write(call.transaction);
        if (fate == Fate::Answered)
            code = version ? ResultCode::Ok : ResultCode::VersionConflict;
        else
            version.reset();
        if (fate == Fate::Refused)
            code = ResultCode::StoreUnavailable;
        if (fate == Fate::Late)
            m_delayedWrites.push_back(call.transaction);
        m_queue->onWrite(call.id, version, {code, ""}, m_now);
    }

    void collect()
    {
        for (const auto &finished : m_queue->takeFinished()) {
            const auto it = m_submitted.find({m_generation, finished.id});
            RC_ASSERT(it != m_submitted.end());
            RC_ASSERT(!it->second.result.has_value());
            it->second.result = finished.result;
        }
    }

    void checkRateLimits() const
    {
        const double seconds = absl::ToDoubleSeconds(m_now - m_started);
        const platform::StoreWriterOptions options = fuzzOptions();
        RC_ASSERT(m_writeCalls <= options.writeBurst + options.writesPerSecond * seconds + 1);
        RC_ASSERT(m_readCalls <= options.readBurst + options.readsPerSecond * seconds + 1);
    }

    core::Instant m_now = absl::UnixEpoch() + absl::Hours(1);
    core::Instant m_started = m_now;
    test::FakeTables m_tables;
    std::unique_ptr<WriteQueue> m_queue = std::make_unique<WriteQueue>(fuzzOptions());
    std::deque<StoreCall> m_calls;
    std::deque<platform::Transaction> m_delayedWrites;
    std::map<std::pair<int, std::uint64_t>, SubmittedWrite> m_submitted;
    int m_generation = 0;
    bool m_markerShared = false;
    int m_writes = 0;
    int m_readCalls = 0;
    int m_writeCalls = 0;
};

// Faults depend on the commands only, so the model has no state.
struct Model
{ };

using Command = rc::state::Command<Model, System>;

struct Submit : Command
{
    int priority = *rc::gen::inRange(0, 5);
    int key = *rc::gen::inRange(0, Keys);
    int mode = *rc::gen::inRange(0, 3);
    bool longDeadline = *rc::gen::arbitrary<bool>();

    void run(const Model &, System &system) const override
    {
        system.submit(priority, key, mode, longDeadline);
    }
    void show(std::ostream &os) const override
    {
        os << "submit(" << priority << ", " << key << ", " << mode << ", " << longDeadline << ")";
    }
};

struct Pump : Command
{
    bool leaseOnly = *rc::gen::arbitrary<bool>();

    void run(const Model &, System &system) const override { system.pump(leaseOnly); }
    void show(std::ostream &os) const override { os << "pump(" << leaseOnly << ")"; }
};

struct PumpAll : Command
{
    void run(const Model &, System &system) const override { system.pump(false); }
    void show(std::ostream &os) const override { os << "pump"; }
};

struct Settle : Command
{
    int index = *rc::gen::inRange(0, 4);
    int fate = *rc::gen::inRange(0, 4);

    void run(const Model &, System &system) const override
    {
        system.settle(index, static_cast<System::Fate>(fate));
    }
    void show(std::ostream &os) const override { os << "settle(" << index << ", " << fate << ")"; }
};

struct Arrive : Command
{
    int index = *rc::gen::inRange(0, 4);
    bool clear = *rc::gen::arbitrary<bool>();

    void run(const Model &, System &system) const override { system.arrive(index, clear); }
    void show(std::ostream &os) const override { os << "arrive(" << index << ", " << clear << ")"; }
};

struct Advance : Command
{
    int ms = *rc::gen::inRange(1, 400);

    void run(const Model &, System &system) const override
    {
        system.advance(absl::Milliseconds(ms));
    }
    void show(std::ostream &os) const override { os << "advance(" << ms << " ms)"; }
};

struct ChangeRow : Command
{
    int key = *rc::gen::inRange(0, Keys);
    bool remove = *rc::gen::arbitrary<bool>();

    void run(const Model &, System &system) const override { system.changeRow(key, remove); }
    void show(std::ostream &os) const override { os << "change(" << key << ", " << remove << ")"; }
};

struct Restart : Command
{
    void run(const Model &, System &system) const override { system.restart(); }
    void show(std::ostream &os) const override { os << "restart"; }
};

struct UseMarker : Command
{
    int slot = *rc::gen::inRange(0, 3);

    void run(const Model &, System &system) const override { system.useMarker(slot); }
    void show(std::ostream &os) const override { os << "useMarker(" << slot << ")"; }
};

template <typename... Commands>
void fuzz()
{
    System system;
    rc::state::check(Model(), system, rc::state::gen::execOneOfWithArgs<Commands...>());
    system.runToCompletion();
    system.check();
}

} // namespace

TEST_CASE("writes end in one true outcome under lost and late answers")
{
    CHECK(rc::check([] {
        fuzz<Submit, Pump, PumpAll, PumpAll, Settle, Settle, Arrive, Advance, ChangeRow>();
    }));
}

TEST_CASE("writes end in one true outcome when the process restarts")
{
    CHECK(rc::check([] {
        fuzz<Submit, Submit, PumpAll, PumpAll, PumpAll, Settle, Settle, Arrive, Advance, ChangeRow,
             Restart>();
    }));
}

TEST_CASE("writes end in one true outcome when two processes have the same name")
{
    CHECK(rc::check([] {
        fuzz<Submit, Submit, PumpAll, PumpAll, PumpAll, Settle, Settle, Arrive, Advance, Restart,
             UseMarker>();
    }));
}
