"""Work is started on a minion without the label that it needs, which has started again under its
id as another kind and has said so."""

import random
import sys
import threading
import time

from harness import Cluster, Worker, main
from platformstandin import NoAnswer

WORKERS = 8
# srv_crash with how = "dark": one minion is silent for so long and starts again under its id.
DOWN_SECONDS, CRASHES = 0.7, 12
JOBS_PER_SECOND = 8.0
# Starts count only if the agent had answered the new boot's report this long before.
KNOWN_SECONDS = 0.1


class Minion(Worker):
    """A worker that can lose power. Connections that it had stay silent, those that are opened
    while it is down are reset when it is up again."""

    connection = threading.local()
    dark_since = 0.0

    def kind(self):
        """The first minion is of kind "a" in its first boot, then of "b" and "a" by turns."""
        boot = self.generation // 2
        return "a" if self.name == "w1" and boot % 2 == 0 else "b"

    def heartbeat(self, *arguments, **named):
        identity, report = super().heartbeat(*arguments, **named)
        return identity, dict(report, labels=[self.kind(), self.rack])

    def handle(self, path, query, body, headers):
        first = getattr(self.connection, "generation", None)
        if first is None:
            first = self.connection.generation = self.generation
        if not self.up:
            while not self.up:
                time.sleep(0.01)
            raise NoAnswer
        if first != self.generation:
            raise NoAnswer
        return super().handle(path, query, body, headers)

    def execute(self, kind, body, generation):
        answer = super().execute(kind, body, generation)
        if generation != self.generation:
            # The answer of a call that was under way when the power went.
            time.sleep(10)
            raise NoAnswer
        return answer


def case(record, trouble, clusters):
    cluster = Cluster(record, entries=2, workers=WORKERS, worker_class=Minion)
    clusters.append(cluster)
    cluster.wait_ready()
    minion, agent = cluster.workers[0], cluster.agents[0]
    # By boot of the minion: when its report had been answered.
    known, broken = {}, []

    def on_run(kind, worker, task, run, detail):
        if kind != "start" or (cluster.step_of(task) or {}).get("needs") != "a":
            return
        if worker.kind() == "a":
            return
        since = time.monotonic() - known.get(worker.generation, time.monotonic())
        record.write("start of", task, "which needs a, on", worker.name, "of kind", worker.kind(),
                     f"{since:.3f} s after its report was answered")
        if since > KNOWN_SECONDS:
            broken.append(f"ROUTE: {task}, which needs the label a, was started on {worker.name} "
                          f"of kind {worker.kind()}, {since:.3f} s after the agent had answered "
                          f"the report of this boot")

    cluster.on_run = on_run
    rng = random.Random()
    stop = threading.Event()

    def traffic():
        while not stop.wait(rng.expovariate(JOBS_PER_SECOND)):
            cluster.submit(f"{rng.getrandbits(64):016x}", [
                {"count": 1, "cpu": 2000, "memMb": 512, "needs": "a", "estRuntimeMs": 300,
                 "work": 0.3}])

    thread = threading.Thread(target=traffic, daemon=True)
    thread.start()
    for _ in range(CRASHES):
        time.sleep(rng.uniform(4, 5))
        if not trouble:
            continue
        record.write("worker", minion.name, "of kind", minion.kind(), "goes dark")
        minion.crash(minion.generation, DOWN_SECONDS, minion.id)
        while not minion.up:
            time.sleep(0.01)
        # A minion reports itself when it starts.
        if cluster.beat_once(minion, agent):
            known[minion.generation] = time.monotonic()
            record.write("worker", minion.name, "is up as kind", minion.kind(),
                         "and its report has been answered")
    time.sleep(3)
    stop.set()
    thread.join()
    return broken


sys.exit(main(case))
