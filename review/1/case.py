"""A scheduled job of the largest size on the sheets: its progress does not fit into one row of the
store, and the leader then repeats the refused transaction for ever, so that nothing of anybody is
started any more."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
import harness  # noqa: E402

# The largest figures of the site file for `date-check`: its width, how often it runs and how far
# apart, the mean work and the long tail of it.
UNITS, OCCURRENCES, INTERVAL_MS = 230, 6, 4500
WORK_SECONDS, TAIL_SHARE, TAIL_FACTOR = 8.1, 0.03, 7.0
# Without the disruption, the job is a tenth as wide.
UNITS_WITHOUT_TROUBLE = 23
# All occurrences are due after 23 s; by now their work units have been started.
SECONDS_UNTIL_SMALL_JOBS = 45
SMALL_STEP = {"count": 2, "cpu": 1000, "memMb": 256, "estRuntimeMs": 1000, "work": 1.0}
SMALL_JOBS = 8


def large_job(units):
    step = {"count": units, "cpu": 50, "memMb": 64, "estRuntimeMs": int(WORK_SECONDS * 1000),
            "work": WORK_SECONDS}
    job = harness.random_job([step])
    job.schedule = {"times": OCCURRENCES, "firstMs": int(time.time() * 1000),
                    "intervalMs": INTERVAL_MS}
    return job


def add_tail(deployment, job):
    """Makes a share of the job's work units take longer."""
    long_step = dict(job.steps[0], work=WORK_SECONDS * TAIL_FACTOR)

    def step_of(task):
        name, _, _, index = task.split(".")
        if name == job.id and int(index) % round(1 / TAIL_SHARE) == 0:
            return long_step
        return type(deployment).step_of(deployment, task)

    for worker in deployment.workers:
        worker.step_of = step_of


def run(create, trouble):
    deployment = create(workers=4)
    for index in range(4):
        deployment.beat_regularly(index)
    deployment.wait_until_serving()
    time.sleep(2)
    # The deployment works before the large job comes.
    first = harness.random_job([SMALL_STEP])
    deployment.submit(first)
    time.sleep(4)
    if deployment.state(first)[1] != "completed":
        raise harness.CannotRun("the first job has not completed")
    large = large_job(UNITS if trouble else UNITS_WITHOUT_TROUBLE)
    add_tail(deployment, large)
    deployment.submit(large)
    time.sleep(SECONDS_UNTIL_SMALL_JOBS)
    jobs = []
    for _ in range(SMALL_JOBS):
        jobs.append(harness.random_job([SMALL_STEP]))
        deployment.submit(jobs[-1])
        time.sleep(1)
    time.sleep(harness.BOUNDS["finish_s"])
    deployment.state(large)
    deployment.check_lost([job for job in jobs if job.accepted_at is not None])


sys.exit(harness.main(HERE, run))
