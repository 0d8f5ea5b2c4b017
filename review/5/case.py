"""A worker crashes and starts again at once under the id that it had. Until its next liveness
report, its agent passes starts for the old boot to the new one, although the new boot's lists of
runs say when it was born. The report then makes the leader start the same work elsewhere."""

import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
import harness  # noqa: E402

# One worker of eight is less than the largest share that crashes at once, 0.14.
WORKERS = 8
CRASHES = 6
DOWN_SECONDS = 0.1
STEP = {"count": 1, "cpu": 1000, "memMb": 1024, "estRuntimeMs": 3000, "work": 3.0}
JOBS_PER_SECOND = 4


def submit_jobs(deployment, until):
    jobs = []
    while time.monotonic() < until:
        jobs.append(harness.random_job([STEP]))
        deployment.submit(jobs[-1])
        time.sleep(1 / JOBS_PER_SECOND)
    return jobs


def busiest_worker(deployment):
    with deployment.lock:
        active = [entry["worker"] for entry in deployment.active_runs()]
    return max(deployment.workers, key=active.count)


def crash_and_boot(deployment, worker):
    """The liveness reports keep their period of 1.5 s, so that the first one of the new boot comes
    up to 1.5 s after its start."""
    deployment.note(f"{worker.name} crashes")
    identity = worker.id
    worker.crash()
    time.sleep(DOWN_SECONDS)
    worker.boot(identity, int(time.time() * 1000))
    deployment.note(f"{worker.name} runs again as {worker.id}, born {worker.started_at_ms}")


def run(create, trouble):
    deployment = create(workers=WORKERS)
    for index in range(WORKERS):
        deployment.beat_regularly(index)
    deployment.wait_until_serving()
    time.sleep(3)
    until = time.monotonic() + 4 * CRASHES + 4
    traffic = threading.Thread(target=submit_jobs, args=(deployment, until))
    traffic.start()
    for _ in range(CRASHES):
        time.sleep(4)
        if trouble:
            crash_and_boot(deployment, busiest_worker(deployment))
    traffic.join()
    time.sleep(6)


sys.exit(harness.main(HERE, run))
