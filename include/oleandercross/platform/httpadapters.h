#pragma once

#include <oleandercross/http/clientpool.h>
#include <oleandercross/platform/minionclient.h>
#include <oleandercross/platform/objectstore.h>
#include <oleandercross/platform/tableservice.h>
#include <oleandercross/platform/workercontrol.h>

namespace oleandercross::platform {

// The platform's wire format is not published. Only these classes depend on it. They currently use
// the format of the stand-in, which is described in docs/design/platform.md. The client pool must
// outlive them. Every response is matched to its request by id and checked for length.

// Limits one call to the platform. Unresponsive connections must be replaced within 2 s.
constexpr absl::Duration DefaultPlatformTimeout = absl::Milliseconds(1500);

// Client of the transactional table service.
class HttpTableService : public TableService
{
public:
    HttpTableService(http::ClientPool &pool, http::Endpoint endpoint,
                     absl::Duration timeout = DefaultPlatformTimeout);

    std::optional<std::optional<Row>> read(const std::string &key) override;
    std::optional<std::vector<Row>> scan(const std::string &prefix, const std::string &after,
                                         int limit) override;
    std::optional<std::int64_t> write(const Transaction &transaction) override;

    // Reads the marker row of the transaction, see writemarker.h. Fails with OutcomeUnknown if the
    // transaction has none.
    std::optional<bool> applied(const Transaction &transaction) override;

private:
    http::ClientPool &m_pool;
    const http::Endpoint m_endpoint;
    const absl::Duration m_timeout;
};

// Client of the object store.
class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(http::ClientPool &pool, http::Endpoint endpoint,
                    absl::Duration timeout = absl::Seconds(10));

    bool put(const std::string &key, const std::string &bytes) override;
    std::optional<std::optional<std::string>> fetch(const std::string &key) override;

private:
    http::ClientPool &m_pool;
    const http::Endpoint m_endpoint;
    const absl::Duration m_timeout;
};

// Client of the control interface of one worker.
class HttpWorkerControl : public WorkerControl
{
public:
    HttpWorkerControl(http::ClientPool &pool, http::Endpoint endpoint,
                      absl::Duration timeout = DefaultPlatformTimeout);

    bool start(const TaskStart &task) override;
    bool stop(const std::string &taskId) override;
    bool checkpoint(const std::string &taskId) override;
    bool throttle(const std::string &taskId, double share) override;
    bool renewLeases(const std::vector<std::string> &taskIds, absl::Duration lease) override;
    std::optional<std::vector<TaskStatus>> tasks() override;
    bool forget(const std::vector<std::string> &taskIds) override;

private:
    http::ClientPool &m_pool;
    const http::Endpoint m_endpoint;
    const absl::Duration m_timeout;
};

// Client of one minion.
class HttpMinionClient : public MinionClient
{
public:
    HttpMinionClient(http::ClientPool &pool, http::Endpoint endpoint);

    std::optional<MinionResponse> execute(const MinionRequest &request,
                                          absl::Duration timeout) override;
    bool cancel(const core::RequestId &id) override;
    bool healthy(absl::Duration timeout) override;

private:
    http::ClientPool &m_pool;
    const http::Endpoint m_endpoint;
};

} // namespace oleandercross::platform
