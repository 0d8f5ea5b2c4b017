"""Runs a small cluster of real processes on loopback for the demo and the fault scenarios."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("OLEANDERCROSS_BUILD", ROOT / "build"))
SHARED_KEY = "loopback-cluster-shared-key"
OPERATOR_TOKEN = "operator-token"
OPERATOR_HASH = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
MINIONS_PER_AGENT = 2


class Answer:
    """Outcome of an HTTP call. Status 0 means that the connection broke or, with the text
    "refused", that it could not be established."""

    def __init__(self, status, headers, text):
        self.status = status
        self.headers = headers
        self.text = text

    def json(self):
        try:
            return json.loads(self.text)
        except ValueError:
            return {}

    @property
    def outcome(self):
        """Returns "answered", "not run", "unknown", "error", "broken" or "no connection"."""
        if self.status == 0:
            return "no connection" if self.text == "refused" else "broken"
        if self.status < 300:
            return "answered"
        return self.json().get("outcome", "error")


def call(port, method, path, body=None, headers=None, timeout=30):
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=data, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Answer(response.status, dict(response.headers), response.read().decode())
    except urllib.error.HTTPError as error:
        return Answer(error.code, dict(error.headers), error.read().decode())
    except urllib.error.URLError as error:
        refused = isinstance(error.reason, ConnectionRefusedError)
        return Answer(0, {}, "refused" if refused else "")
    except (OSError, ValueError, http.client.HTTPException):
        return Answer(0, {}, "")


class Cluster:
    """Entries and agents of one data centre with a simulated platform."""

    def __init__(self, base_port=17100, agents=3, entries=2, data_centre="brum",
                 manifest=ROOT / "examples/wrekin/manifest.yaml", service="booking-desk",
                 usage_lag_ms=200):
        self.base_port = base_port
        self.agents = agents
        self.entries = entries
        self.data_centre = data_centre
        self.manifest = manifest
        self.service = service
        self.usage_lag_ms = usage_lag_ms
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="oleandercross-"))
        self.processes = {}
        self.write_settings()

    # Ports, with the same offsets as in the examples.
    def entry_port(self, entry):
        return self.base_port + entry - 1

    def entry_rpc_port(self, entry):
        return self.base_port + 10 + entry - 1

    def agent_port(self, agent):
        return self.base_port + 20 + agent - 1

    def worker_port(self, agent):
        return self.base_port + 30 + agent - 1

    def minion_port(self, agent, index):
        return self.base_port + 40 + (agent - 1) * MINIONS_PER_AGENT + index

    @property
    def tables_port(self):
        return self.base_port + 99

    def write_settings(self):
        entries = "".join(
            f"  - {{id: entry-{e}, dataCentre: {self.data_centre},"
            f" rpc: '127.0.0.1:{self.entry_rpc_port(e)}'}}\n"
            for e in range(1, self.entries + 1))
        platform = "".join(f"  {name}: 127.0.0.1:{self.tables_port}\n"
                           for name in ("tables", "objects", "traces"))
        common = (f"dataCentre: {self.data_centre}\nsharedKey: {SHARED_KEY}\n"
                  f"entries:\n{entries}platform:\n{platform}")
        for e in range(1, self.entries + 1):
            self.settings_file(f"entry-{e}").write_text(
                f"id: entry-{e}\nlisten: 127.0.0.1:{self.entry_port(e)}\n"
                f"rpcListen: 127.0.0.1:{self.entry_rpc_port(e)}\n"
                f"operatorTokenHash: {OPERATOR_HASH}\n{common}")
        for a in range(1, self.agents + 1):
            minions = "".join(
                f"  - {{id: minion-{a}-{m}, service: {self.service}, slots: 8, connections: 64,"
                f" endpoint: '127.0.0.1:{self.minion_port(a, m)}'}}\n"
                for m in range(MINIONS_PER_AGENT))
            self.settings_file(f"agent-{a}").write_text(
                f"id: agent-{a}\nrpcListen: 127.0.0.1:{self.agent_port(a)}\n{common}"
                f"worker:\n  id: worker-{a}\n  rack: rack-{(a - 1) // 3 + 1}\n"
                f"  resources: {{accelerators: 8, cores: 32, memoryMb: 65536}}\n"
                f"  control: 127.0.0.1:{self.worker_port(a)}\nminions:\n{minions}")

    def settings_file(self, name):
        return self.directory / f"{name}.yaml"

    def spawn(self, name, arguments):
        log = open(self.directory / f"{name}.log", "a")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)

    def start_platform(self):
        if call(self.tables_port, "GET", "/counts").text != "refused":
            raise RuntimeError(f"another cluster uses port {self.tables_port}")
        arguments = [str(BUILD / "oleandercross-standin"), "--tables", str(self.tables_port),
                     "--usage-lag-ms", str(self.usage_lag_ms)]
        for a in range(1, self.agents + 1):
            arguments += ["--worker", f"worker-{a}:{self.worker_port(a)}"]
            for m in range(MINIONS_PER_AGENT):
                arguments += ["--minion", f"minion-{a}-{m}:{self.minion_port(a, m)}"]
        self.spawn("standin", arguments)
        wait_until(lambda: call(self.tables_port, "GET", "/counts").status == 200, 10, "stand-in")

    def start(self, name):
        role = name.split("-")[0]
        self.spawn(name, [str(BUILD / "oleandercrossd"), "--role", role, "--settings",
                          str(self.settings_file(name))])

    def start_all(self):
        self.start_platform()
        for e in range(1, self.entries + 1):
            self.start(f"entry-{e}")
        for a in range(1, self.agents + 1):
            self.start(f"agent-{a}")
        for e in range(1, self.entries + 1):
            wait_until(lambda: call(self.entry_port(e), "GET", "/healthz").status == 200, 10,
                       f"entry {e}")

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def terminate(self, name, timeout=30):
        """Stops a process gracefully and returns its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout)

    def stop_all(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.processes = {}

    def cli(self, *arguments, token=OPERATOR_TOKEN, entry=1, check=False):
        """Runs the command-line tool. Returns its exit status, output and error output."""
        environment = {**os.environ, "OLEANDERCROSS_TOKEN": token,
                       "OLEANDERCROSS_ENTRY": f"127.0.0.1:{self.entry_port(entry)}"}
        result = subprocess.run([str(BUILD / "oleandercross"), *map(str, arguments)],
                                capture_output=True, text=True, env=environment, timeout=120,
                                check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"{arguments}: {result.stdout}{result.stderr}")
        return result.returncode, result.stdout.strip(), result.stderr.strip()

    def commit(self, manifest=None, parent=0):
        return self.cli("manifest", "commit", manifest or self.manifest, "--parent", parent,
                        "--wait", check=True)

    def status(self, entry=1):
        return call(self.entry_port(entry), "GET", "/v1/status",
                    headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"}).json()

    def leader(self):
        """Returns the name of the leading entry, or None."""
        for e in range(1, self.entries + 1):
            if f"entry-{e}" in self.processes and self.status(e).get("leading"):
                return f"entry-{e}"
        return None

    def wait_ready(self):
        """Waits until there is a leader and all entries have all agents."""
        def ready():
            statuses = [self.status(e) for e in range(1, self.entries + 1)]
            return self.leader() and all(
                len([n for n in s.get("nodes", []) if n["role"] == "agent" and n["revision"] > 0])
                == self.agents for s in statuses)
        wait_until(ready, 20, "leader and agents")

    def request(self, body, entry=1, token="families-token", key=None, idempotent=True,
                deadline_ms=None, timeout=30, service=None):
        headers = {"Authorization": f"Bearer {token}",
                   "X-Idempotent": "true" if idempotent else "false"}
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        return call(self.entry_port(entry), "POST",
                    f"/v1/services/{service or self.service}/requests", json.dumps(body), headers,
                    timeout)

    def submit(self, job, token="families-token", entry=1, key=None):
        headers = {"Authorization": f"Bearer {token}"}
        if key:
            headers["Idempotency-Key"] = key
        return call(self.entry_port(entry), "POST", "/v1/jobs", json.dumps(job), headers)

    def job(self, job_id, token="families-token", entry=1, wait=0):
        return call(self.entry_port(entry), "GET", f"/v1/jobs/{job_id}?wait={wait}",
                    headers={"Authorization": f"Bearer {token}"}, timeout=90)

    def fault(self, port, **fault):
        return call(port, "POST", "/fault", json.dumps(fault))

    def minion_counts(self):
        """Returns the executions of each request id on all minions, and how many of them exceeded
        the slots."""
        executions = {}
        beyond = 0
        for a in range(1, self.agents + 1):
            for m in range(MINIONS_PER_AGENT):
                counts = call(self.minion_port(a, m), "GET", "/counts").json()
                beyond += counts.get("beyond_slots", 0)
                for request_id, number in counts.get("executions", {}).items():
                    executions[request_id] = executions.get(request_id, 0) + number
        return executions, beyond


def wait_until(condition, seconds, what):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"waited {seconds} s for {what}")


def in_parallel(functions, width=16):
    """Runs the functions on up to `width` threads and returns their results in order."""
    results = [None] * len(functions)
    lock = threading.Lock()
    pending = list(enumerate(functions))

    def run():
        while True:
            with lock:
                if not pending:
                    return
                index, function = pending.pop(0)
            results[index] = function()

    threads = [threading.Thread(target=run) for _ in range(width)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results
