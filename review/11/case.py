"""A minion is cut off and runs on. The work unit there ends `done` behind the cut, and the minion
lists that end when it is back. It is thrown away: the next step of the job does not begin, and the
work unit that is done waits to be run again."""

import time

from harness import BROKEN, CAPACITY, FINISH_S, HELD, NOT_RUN, TROUBLE, main

# `node_cut` in the site file: for_s 12.0 at most. One of 11 minions is cut off.
CUT_S = 12.0
LONELY_S = 3.0
# The rack of two minions, the last ones.
RACK = "r1-4"


def run(cluster):
    first, second = cluster.entries[0], cluster.entries[1]
    starts, ends = [], []
    cluster.on_start.append(lambda m, task, number, body: starts.append(task))
    cluster.on_end.append(lambda m, r, how: ends.append((r.task, how)))
    whole = {"count": 1, "cpu": 26000, "memMb": 38000, "gpu": 8, "needs": RACK, "work": 50.0}
    small = {"count": 1, "cpu": 5600, "memMb": 15000, "gpu": 1, "work": 5.0}
    # The first takes a whole minion of the rack, the second has its first step on the other one.
    answers = [cluster.submit(first, "forecast", [whole])]
    time.sleep(1)
    answers.append(cluster.submit(first, "reminder", [dict(small, needs=RACK),
                                                      dict(small, after=[0])]))
    job = answers[-1][0]
    time.sleep(1)
    places = [m for m in cluster.minions if any(task.startswith(job) for task in list(m.runs))]
    if not places:
        return NOT_RUN
    minion, cut_at = places[0], time.monotonic()
    if TROUBLE:
        minion.dark = True
        cluster.record.write(f"{minion.name} is cut off for {CUT_S} s and runs on")
    time.sleep(CUT_S - 2)
    # Another job waits for a whole minion of the rack.
    answers.append(cluster.submit(second, "forecast", [whole]))
    if any(status != 200 for _, status in answers):
        return NOT_RUN
    traffic_ended = time.monotonic()
    cluster.record.write("the traffic has ended")
    time.sleep(max(0, cut_at + CUT_S - time.monotonic()))
    if TROUBLE:
        minion.dark = False
        cluster.record.write(f"{minion.name} is back")

    def turn_has_come():
        return (f"{job}.0.0.0", "done") in ends and (f"{job}.0.1.0", "done") not in ends

    def has_room_twice_over():
        with cluster.gangs.lock:
            free, used = 0, 0
            for m in cluster.minions:
                steps = [r.step for r in m.runs.values()]
                used += sum(step["gpu"] for step in steps)
                free += m.up and all(sum(step[what] for step in steps) + small[what]
                                     <= CAPACITY[what] for what in CAPACITY)
            return free >= 2 and used < len(cluster.minions) * CAPACITY["gpu"] / 2

    # `finish_s` after the end of the traffic, for 3 s on end.
    since, broken = None, False
    while time.monotonic() < traffic_ended + FINISH_S + 2 * LONELY_S and not broken:
        time.sleep(0.05)
        now = time.monotonic()
        if cluster.running(job) or not turn_has_come() or not has_room_twice_over():
            since = None
        elif now >= traffic_ended + FINISH_S:
            since = since or now
            broken = now - since >= LONELY_S
    if broken:
        listed = any(end[1].startswith(job) for end in minion.ended)
        cluster.record.write(f"from {since - traffic_ended:.1f} to {now - traffic_ended:.1f} s "
                             "after the end of the traffic the job had nothing running, though "
                             "its first step has ended `done`; that end is",
                             "not acknowledged" if listed else "acknowledged")
    cluster.call(second, "GET", f"/reminder/{job}")
    end = time.monotonic() + 60
    while turn_has_come() and f"{job}.0.1.0" not in starts and time.monotonic() < end:
        time.sleep(0.1)
    cluster.record.write(f"starts of the first step: {starts.count(f'{job}.0.0.0')},",
                         f"its ends `done`: {ends.count((f'{job}.0.0.0', 'done'))},",
                         f"starts of the second step: {starts.count(f'{job}.0.1.0')}")
    return BROKEN if broken else HELD


main(run)
