"""A job with many work units: its progress does not fit into one row of the store, and the leader
then repeats the refused transaction for ever, so that nothing of anybody is started any more."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import harness  # noqa: E402

SMALL_STEP = {"count": 2, "cpu": 1000, "memMb": 256, "estRuntimeMs": 1000, "work": 1.0}
# Without the disruption, the job is a tenth as wide.
UNITS_PER_STEP, UNITS_PER_STEP_WITHOUT_TROUBLE = 700, 70
SMALL_JOBS = 8


def large_job(units):
    step = {"count": units, "cpu": 50, "memMb": 50, "estRuntimeMs": 5000, "work": 5.0}
    return harness.random_job([dict(step), dict(step)])


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
    jobs = [large_job(UNITS_PER_STEP if trouble else UNITS_PER_STEP_WITHOUT_TROUBLE)]
    deployment.submit(jobs[0])
    time.sleep(2)
    for _ in range(SMALL_JOBS):
        jobs.append(harness.random_job([SMALL_STEP]))
        deployment.submit(jobs[-1])
        time.sleep(1)
    time.sleep(harness.BOUNDS["finish_s"])
    deployment.check_lost([job for job in jobs if job.accepted_at is not None])


sys.exit(harness.main(HERE, run))
