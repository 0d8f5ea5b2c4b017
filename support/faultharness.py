"""Shared parts of the fault scenarios: callers, a monitor and the final comparison of counts."""

import collections
import contextlib
import hashlib
import json
import threading
import time

import faultjudge
from cluster import Cluster, MINIONS_PER_AGENT, OPERATOR_TOKEN, call, wait_until
from faultjudge import FaultWindow, SentRequest

ENDED = ("succeeded", "failed", "cancelled")
SAMPLE_SECONDS = 0.1
# Requests in flight at the end of a fault may be affected for this long afterwards.
RECOVERY_SECONDS = 5
GANG = {"dataCentre": "brum", "team": "rota", "tasks": 2, "accelerators": 8, "cores": 8,
        "memoryMb": 8000, "repeatable": True, "command": "run 2"}


class Scenario:
    """A fault scenario that support/faults can run."""

    def __init__(self, function, ci, prepare):
        self.name = function.__name__.replace("_", "-")
        self.text = function.__doc__
        self.function = function
        self.ci = ci
        self.prepare = prepare


REGISTRY = []


def scenario(ci=False, prepare=True):
    """Registers a scenario. Without `prepare`, no manifest is committed before it runs."""
    def register(function):
        REGISTRY.append(Scenario(function, ci, prepare))
        return function
    return register


class Monitor:
    """Samples running tasks and revisions while a scenario runs."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.tasks = []
        self.revisions = []
        self.started = set()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self.repeat, args=(f,))
                        for f in (self.sample_tasks, self.sample_revisions)]
        for thread in self.threads:
            thread.start()

    def repeat(self, function):
        while not self.stopping.wait(SAMPLE_SECONDS):
            function()

    def workers(self):
        return [call(self.cluster.worker_port(a), "GET", "/counts", timeout=5).json()
                for a in range(1, self.cluster.agents + 1)]

    def sample_tasks(self):
        running = []
        for worker in self.workers():
            self.started.update(worker.get("starts", {}))
            running += [t["task_id"] for t in worker.get("tasks", [])
                        if t["state"] in ("running", "checkpointing")]
        self.tasks.append((time.monotonic(), running))

    def sample_revisions(self):
        for e in range(1, self.cluster.entries + 1):
            status = call(self.cluster.entry_port(e), "GET", "/v1/status", timeout=1,
                          headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"}).json()
            self.revisions.append((e, f"entry-{e} itself", status.get("revision", 0)))
            for node in status.get("nodes", []):
                self.revisions.append((e, node["id"], node["revision"]))

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


class Run:
    """A run of one scenario on its own cluster."""

    def __init__(self, base_port):
        self.cluster = Cluster(base_port=base_port)
        self.sent = []
        self.fault_windows = []
        self.submitted = {}
        self.counts = collections.Counter()
        self.findings = []
        self.monitor = None
        self.lock = threading.Lock()

    def start(self, prepare):
        self.cluster.start_all()
        if prepare:
            self.cluster.commit()
            self.cluster.wait_ready()
        self.monitor = Monitor(self.cluster)

    # Checks made by scenarios.
    def expect(self, condition, what):
        self.counts["other checks"] += 1
        if not condition:
            self.counts["other violations"] += 1
            self.findings.append(what)

    def wait(self, condition, seconds, what):
        """Like wait_until, but counts a time-out as a violation."""
        try:
            wait_until(condition, seconds, what)
            return True
        except TimeoutError as error:
            self.expect(False, str(error))
            return False

    @contextlib.contextmanager
    def fault_window(self, entry=0, unknown=True):
        window = FaultWindow(time.monotonic(), float("inf"), entry, unknown)
        self.fault_windows.append(window)
        yield
        window.ended = time.monotonic() + RECOVERY_SECONDS

    # Callers.
    def send(self, echo, entry=1, idempotent=True, key=None, work_ms=10, deadline_ms=10000,
             **body):
        began = time.monotonic()
        answer = self.cluster.request({"work_ms": work_ms, "echo": echo, **body}, entry=entry,
                                      idempotent=idempotent, key=key, deadline_ms=deadline_ms)
        reply = answer.json()
        item = SentRequest(echo, idempotent, answer.outcome, answer.headers.get("X-Request-Id", ""),
                           str(reply.get("echo", "")), reply.get("request_id", ""),
                           reply.get("code", 0), began, time.monotonic(), entry,
                           answer.text[:300])
        with self.lock:
            self.sent.append(item)
        return item

    def send_until_definite(self, echo, entry, **options):
        """Repeats requests that were not run or could not connect at the other entry."""
        for attempt in range(6):
            item = self.send(echo, 1 + (entry - 1 + attempt) % 2, **options)
            if item.outcome not in faultjudge.NOT_RUN:
                return item
            time.sleep(0.1)
        return item

    @contextlib.contextmanager
    def load(self, callers=6, once_every=4, send=None, work_ms=20, pause=0.02, **options):
        """Runs callers on both entries. Every `once_every`th request is non-idempotent and has an
        idempotency key."""
        stopping = threading.Event()
        send = send or self.send

        def run(caller):
            number = 0
            while not stopping.is_set() and number < 2000:
                echo = f"load-{caller}-{number}"
                # Callers run in lockstep, so each has its own offset in the sequence of kinds.
                once = (number + caller) % once_every == 0
                send(echo, entry=1 + caller % 2, idempotent=not once,
                     key=echo if once else None, work_ms=work_ms, **options)
                number += 1
                time.sleep(pause)

        threads = [threading.Thread(target=run, args=(c,)) for c in range(callers)]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            stopping.set()
            for thread in threads:
                thread.join()

    # Jobs.
    def submit(self, key, entry=1, **changes):
        """Submits a job with an idempotency key, so that its id is known even without an answer."""
        job = {**GANG, **changes}
        answer = self.cluster.submit(job, entry=entry, key=key)
        job_id = "brum." + hashlib.sha256(f"families\n{key}".encode()).hexdigest()[:32]
        self.submitted[job_id] = (answer.outcome, bool(job.get("repeatable")))
        if answer.outcome == "answered":
            self.expect(answer.json().get("job") == job_id, f"unexpected job id {answer.text}")
        return job_id, answer

    def state(self, job_id, entry=1):
        return self.cluster.job(job_id, entry=entry).json().get("state", "")

    def wait_state(self, job_id, states, seconds=20, entry=1):
        return self.wait(lambda: self.state(job_id, entry) in states, seconds,
                         f"{job_id} to be {'/'.join(states)}")

    def cancel(self, job_id, entry=1):
        return call(self.cluster.entry_port(entry), "DELETE", f"/v1/jobs/{job_id}",
                    headers={"Authorization": "Bearer families-token"})

    def running_tasks(self):
        return [t for w in self.monitor.workers() for t in w.get("tasks", [])
                if t["state"] == "running"]

    # The final comparison.
    def find_job(self, job_id):
        for e in range(1, self.cluster.entries + 1):
            if f"entry-{e}" in self.cluster.processes:
                reply = self.cluster.job(job_id, entry=e).json()
                if reply:
                    return reply.get("state") or reply.get("name")
        return ""

    def finish(self):
        cluster = self.cluster
        found = {job: self.find_job(job) for job, (outcome, _) in self.submitted.items()
                 if outcome == "answered"}
        self.monitor.stop()
        self.monitor.sample_tasks()
        executions, beyond = cluster.minion_counts()
        self.expect(beyond == 0, f"{beyond} executions beyond the slots")
        for counts, findings in (
                faultjudge.judge_requests(self.sent, executions, self.echoes(), self.fault_windows),
                faultjudge.judge_gangs(self.monitor.tasks),
                faultjudge.judge_workers(self.monitor.workers()),
                faultjudge.judge_jobs(self.submitted, found, self.monitor.started),
                faultjudge.judge_revisions(self.monitor.revisions)):
            self.counts.update(counts)
            self.findings += findings

    def echoes(self):
        total = collections.Counter()
        for a in range(1, self.cluster.agents + 1):
            for m in range(MINIONS_PER_AGENT):
                counts = call(self.cluster.minion_port(a, m), "GET", "/counts").json()
                total.update(counts.get("echoes", {}))
        return total

    def minion_running(self):
        return sum(call(self.cluster.minion_port(a, m), "GET", "/counts").json().get("running", 0)
                   for a in range(1, self.cluster.agents + 1) for m in range(MINIONS_PER_AGENT))

    def fault_minions(self, **fault):
        for a in range(1, self.cluster.agents + 1):
            for m in range(MINIONS_PER_AGENT):
                self.cluster.fault(self.cluster.minion_port(a, m), **fault)

    def violations(self):
        return sum(self.counts[name] for name in faultjudge.VIOLATIONS)

    def table(self):
        names = sorted(set(self.counts) - set(faultjudge.VIOLATIONS))
        rows = [(name, self.counts[name]) for name in names]
        rows += [(name, self.counts[name]) for name in faultjudge.VIOLATIONS]
        return "\n".join(f"  {name:<32} {value:>6}" for name, value in rows)

    def stop(self):
        if self.monitor:
            self.monitor.stop()
        self.cluster.stop_all()


def manifest_with(cluster, name, old, new):
    path = cluster.directory / f"{name}.yaml"
    path.write_text(cluster.manifest.read_text().replace(old, new))
    return path


def commit_json(cluster, entry, parent, path, write_id):
    body = json.dumps({"parent": parent, "writeId": write_id, "yaml": path.read_text(),
                       "comment": ""})
    return call(cluster.entry_port(entry), "POST", "/v1/manifest", body,
                {"Authorization": f"Bearer {OPERATOR_TOKEN}"})
