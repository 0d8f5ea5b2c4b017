"""An entry is frozen while a client hands a job in there. The client gets no answer in its time and
cancels the job at another entry, which answers that it doesn't exist. When the frozen entry wakes
it accepts the job, which then runs although its cancel has been answered."""

import signal
import time

from harness import BROKEN, CANCEL_S, CONTACT_S, HELD, NOT_RUN, STOP_GRACE_S, TROUBLE, main

# `node_freeze` in the site file of wrekin-desk: count 1, for_s 4.0.
FREEZE_S = 4.0
# The time budget of the sheet's requests.
BUDGET_S = 3.0
WORK_S = 40.0


def run(cluster):
    leader = cluster.leader()
    first, second = [entry for entry in cluster.entries if entry is not leader][:2]
    frozen_at = time.monotonic()
    if TROUBLE:
        first.child.send_signal(signal.SIGSTOP)
        cluster.record.write(f"{first.name} is frozen for {FREEZE_S} s")
    step = {"count": 1, "cpu": 2800, "memMb": 4100, "gpu": 1, "work": WORK_S}
    job, status = cluster.submit(first, "check", [step], timeout=BUDGET_S)
    if (status == 200) == TROUBLE:
        return NOT_RUN
    cancelled, _ = cluster.call(second, "DELETE", f"/check/{job}")
    if cancelled not in (200, 410):
        return NOT_RUN
    acknowledged = time.monotonic()
    if TROUBLE:
        time.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
        first.child.send_signal(signal.SIGCONT)
        cluster.record.write(f"{first.name} wakes")
    # From here on nothing is impaired. A work unit of a cancelled job has to be gone after any such
    # stretch of cancel_ms + stopGraceMs that begins contactMs after the end of the freeze.
    time.sleep(CONTACT_S + CANCEL_S + STOP_GRACE_S + 5)
    running = cluster.running(job)
    cluster.record.write(f"{time.monotonic() - acknowledged:.1f} s after the answer to its cancel,",
                         "running:", running or "nothing")
    cluster.call(second, "GET", f"/check/{job}")
    return BROKEN if running else HELD


main(run)
