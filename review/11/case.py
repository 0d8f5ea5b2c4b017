"""A minion flaps under the work unit of an accepted job. No run of it ever ends `failed`, and the
minion is well afterwards, but the job is shown as `failed`."""

import time

from harness import BROKEN, HELD, NOT_RUN, TROUBLE, main

# `srv_flap` of the grown site file: share 0.1, gap_s 1.4, for_s 6.5. One of 11 minions flaps.
GAP_S, FOR_S = 1.4, 6.5
WORK_S = 18.0
# The rack of two minions, the last ones.
RACK = "r1-4"


def run(cluster):
    front = cluster.entries
    ends = []
    cluster.on_end.append(lambda m, r, how: ends.append((r.task.split(".")[0], how)))
    # Each job takes a whole minion of the rack that they need.
    step = {"count": 1, "cpu": 13000, "memMb": 19000, "gpu": 8, "needs": RACK, "work": WORK_S}
    other, other_status = cluster.submit(front[0], "rota", [dict(step, work=2 * WORK_S)])
    job, status = cluster.submit(front[0], "rota", [step])
    if (status, other_status) != (200, 200):
        return NOT_RUN
    time.sleep(2)
    places = [m for m in cluster.minions if any(task.startswith(job) for task in list(m.runs))]
    if not places or not cluster.running(other):
        return NOT_RUN
    minion = places[0]
    if TROUBLE:
        cluster.record.write(f"{minion.name} flaps from now on, for {FOR_S} s")
        end = time.monotonic() + FOR_S
        while time.monotonic() < end:
            minion.crash()
            time.sleep(GAP_S / 2)
            minion.start_boot()
            time.sleep(GAP_S / 2)
        cluster.record.write(f"{minion.name} stays up from now on")
    state, end = None, time.monotonic() + 3 * WORK_S
    while time.monotonic() < end and state not in ("completed", "failed", "cancelled"):
        time.sleep(1)
        state = cluster.call(front[1], "GET", f"/rota/{job}")[1].get("state")
    failed = [how for owner, how in ends if owner == job and how == "failed"]
    cluster.record.write(f"the job is shown as {state}; its runs that ended `failed`:",
                         len(failed), "of the 3 attempts of its queue; running now:",
                         cluster.running(job))
    return BROKEN if state == "failed" and len(failed) < 3 else HELD


main(run)
