"""Outages of the table service, and answers that are lost after the write took effect."""

import threading
import time

from cluster import in_parallel
from faultharness import call, commit_json, manifest_with, scenario

OUTAGE_SECONDS = 10
WRITE = "/v1/tables/write"


def expect_job_refused(run):
    _, answer = run.submit("in-outage")
    run.expect(answer.outcome == "not run" and answer.json().get("code") == 310,
               f"job in the outage: {answer.status} {answer.text}")


def expect_request_outcomes(run, number):
    entry = 1 + number % 2
    item = run.send(f"idempotent-{number}", entry)
    run.expect(item.outcome == "answered", f"idempotent request in the outage: {item}")
    item = run.send(f"keyed-{number}", entry, idempotent=False, key=f"keyed-{number}")
    run.expect(item.outcome == "not run" and item.code == 310,
               f"keyed request in the outage: {item}")


def check_during_outage(run, job):
    """Checks what has to continue and what has to be refused while the store is unavailable. The
    calls run in parallel, so that none is delayed beyond the end of the outage."""
    in_parallel([lambda: expect_job_refused(run)]
                + [lambda n=n: expect_request_outcomes(run, n) for n in range(4)])
    run.expect(run.state(job) == "running", f"running job in the outage: {run.state(job)}")
    run.expect(len(run.running_tasks()) == 2, "the running gang stopped in the outage")


def submit_until(run, end):
    """Submits jobs through both entries until `end`. Returns the accepted ones."""
    accepted = []
    number = 0
    while time.monotonic() < end:
        job, answer = run.submit(f"edge-{number}", entry=1 + number % 2, tasks=1, accelerators=1,
                                 command="run 0.2")
        accepted += [job] if answer.outcome == "answered" else []
        number += 1
        time.sleep(0.1)
    return accepted


def outage(run, kind):
    cluster = run.cluster
    job, _ = run.submit("before", command="run 25")
    run.wait_state(job, ("running",))
    began = time.monotonic()
    cluster.fault(cluster.tables_port, outage=kind, outage_ms=OUTAGE_SECONDS * 1000)
    run.wait(lambda: not any(cluster.status(e).get("storeAvailable") for e in (1, 2)), 4,
             "both entries to notice the outage")
    check_during_outage(run, job)
    time.sleep(max(0, began + OUTAGE_SECONDS - 1 - time.monotonic()))
    accepted = submit_until(run, began + OUTAGE_SECONDS + 1.5)
    run.expect(accepted, "no job was accepted after the outage")
    run.wait(cluster.leader, 5, "a leader after the outage")
    run.expect(run.state(job) == "running", f"running job after the outage: {run.state(job)}")
    after, _ = run.submit("after", tasks=1, command="run 0.5")
    for accepted_job in [after, *accepted]:
        run.wait_state(accepted_job, ("succeeded",), 15)
    item = run.send("keyed-after", idempotent=False, key="keyed-after")
    run.expect(item.outcome == "answered", f"keyed request after the outage: {item}")
    run.cancel(job)
    run.wait_state(job, ("cancelled",), 10)


@scenario(ci=True)
def store_outage_refusing(run):
    """the store refuses everything for 10 s"""
    outage(run, "refuse")


@scenario()
def store_outage_silent(run):
    """the store is silent for 10 s"""
    outage(run, "silent")


@scenario()
def store_answers_lost(run):
    """the store's answers are lost after the write: submissions, commits, lease renewal"""
    cluster = run.cluster
    for number in range(6):
        cluster.fault(cluster.tables_port, path=WRITE, lose=1 + number % 2)
        _, answer = run.submit(f"lost-{number}", tasks=1, accelerators=1, command="run 0.2")
        run.expect(answer.outcome == "answered", f"submission: {answer.status} {answer.text}")
    for number in range(3):
        path = manifest_with(cluster, f"m{number}", "weight: 3", f"weight: {4 + number}")
        cluster.fault(cluster.tables_port, path=WRITE, lose=1)
        answer = commit_json(cluster, 1 + number % 2, 1 + number, path, f"write-{number}")
        run.expect(answer.status == 201 and answer.json().get("revision") == 2 + number,
                   f"commit: {answer.status} {answer.text}")
    leader = cluster.leader()
    epochs = [l["epoch"] for l in cluster.status(1).get("leaders", [])]
    for _ in range(8):
        cluster.fault(cluster.tables_port, path=WRITE, lose=1)
        time.sleep(0.4)
    run.expect(cluster.leader() == leader, "the leader changed by lost answers")
    run.expect([l["epoch"] for l in cluster.status(1).get("leaders", [])] == epochs,
               "the epoch changed by lost answers")
    for job in list(run.submitted):
        run.wait_state(job, ("succeeded",), 15)


@scenario()
def restart_in_outage(run):
    """one entry, then both are killed and started during a store outage"""
    cluster = run.cluster
    cluster.fault(cluster.tables_port, outage="refuse", outage_ms=OUTAGE_SECONDS * 1000)
    began = time.monotonic()
    cluster.kill("entry-2")
    cluster.start("entry-2")
    run.wait(lambda: call(cluster.entry_port(2), "GET", "/readyz").status == 200, 5,
             "entry-2 to get the configuration from its peer")
    for name in ("entry-1", "entry-2"):
        cluster.kill(name)
    for name in ("entry-1", "entry-2"):
        cluster.start(name)
    time.sleep(2)
    for entry in (1, 2):
        ready = call(cluster.entry_port(entry), "GET", "/readyz").status
        item = run.send(f"restarted-{entry}", entry=entry)
        run.expect(item.outcome == ("answered" if ready == 200 else "not run"),
                   f"ready {ready}: {item}")
    time.sleep(max(0, began + OUTAGE_SECONDS - time.monotonic()))
    for entry in (1, 2):
        run.wait(lambda e=entry: run.send(f"back-{e}", entry=e).outcome == "answered", 8,
                 f"entry-{entry} after the outage")
    job, _ = run.submit("back", tasks=1, command="run 0.2")
    run.wait_state(job, ("succeeded",), 15)


@scenario(ci=True)
def racing_commits(run):
    """manifest commits with the same parent: one wins, the losers name both revisions"""
    cluster = run.cluster
    # All commits read the head before any of them writes.
    cluster.fault(cluster.tables_port, delay_ms=60)
    for parent in range(1, 4):
        answers = []

        def commit(number, parent=parent, answers=answers):
            path = manifest_with(cluster, f"race-{parent}-{number}", "weight: 3",
                                 f"weight: {10 * parent + number}")
            answers.append(commit_json(cluster, 1 + number % 2, parent, path,
                                       f"race-{parent}-{number}"))

        threads = [threading.Thread(target=commit, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [a for a in answers if a.status == 201]
        lost = [a for a in answers if a.status == 409 and a.json().get("code") == 109]
        run.expect(len(won) == 1 and len(lost) == 5,
                   f"{len(won)} won, {[(a.status, a.text) for a in answers]}")
        run.expect(all(f"revision {parent} " in a.text and f"revision {parent + 1}" in a.text
                       for a in lost), f"conflicts: {[a.text for a in lost]}")
        run.wait(lambda p=parent: all(n["revision"] == p + 1 for e in (1, 2)
                                      for n in cluster.status(e).get("nodes", [])), 7,
                 f"revision {parent + 1} on all nodes")
