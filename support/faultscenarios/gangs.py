"""Faults while gangs start, run and end."""

import signal
import threading
import time

from faultharness import ENDED, scenario


def submit_many(run, number, prefix, entry=1, **changes):
    return [run.submit(f"{prefix}-{n}", entry=entry, **changes)[0] for n in range(number)]


def expect_succeeded(run, jobs, seconds=40, entry=1):
    deadline = time.monotonic() + seconds
    for job in jobs:
        run.wait_state(job, ENDED, max(1, deadline - time.monotonic()), entry)
        state = run.state(job, entry)
        run.expect(state == "succeeded", f"{job} {state}")


@scenario(ci=True)
def kill_leader_during_gang_start(run):
    """kill -9 of the leading entry while gangs start; the other one takes over"""
    leader = run.cluster.leader()
    other = 3 - int(leader[-1])
    jobs = submit_many(run, 2, "start", entry=other, command="run 1")
    time.sleep(0.15)
    run.cluster.kill(leader)
    run.wait(lambda: run.cluster.status(other).get("leading"), 5, "the other entry to lead")
    jobs += submit_many(run, 1, "later", entry=other, command="run 1")
    expect_succeeded(run, jobs, entry=other)


@scenario()
def kill_agent_during_gang_start(run):
    """kill -9 of an agent while gangs start"""
    jobs = submit_many(run, 3, "start", command="run 1")
    time.sleep(0.1)
    run.cluster.kill("agent-2")
    time.sleep(1)
    run.cluster.start("agent-2")
    expect_succeeded(run, jobs, 60)


def pause_with_gangs(run, name, seconds, entry):
    jobs = submit_many(run, 2, f"paused-{seconds}", entry=entry, command="run 3")
    time.sleep(0.3)
    run.cluster.send_signal(name, signal.SIGSTOP)
    time.sleep(seconds - 0.5)
    # Jobs submitted to a new leader, which the old one does not know when it resumes.
    jobs += submit_many(run, 3, f"meanwhile-{seconds}", entry=entry, tasks=1, command="run 2")
    time.sleep(0.5)
    run.cluster.send_signal(name, signal.SIGCONT)
    expect_succeeded(run, jobs, 60, entry)


@scenario()
def pause_leader(run):
    """SIGSTOP of the leading entry for 1 s and past its lease, with gangs"""
    for seconds in (1, 6):
        leader = run.cluster.leader()
        pause_with_gangs(run, leader, seconds, 3 - int(leader[-1]))
        run.wait(run.cluster.leader, 10, "a leader")


@scenario()
def pause_agent_of_gang(run):
    """SIGSTOP of a gang's agent for 1 s and 6 s"""
    for seconds in (1, 6):
        pause_with_gangs(run, "agent-1", seconds, 1)


def start_long_gang(run, key):
    job, _ = run.submit(key, command="run 60")
    run.wait_state(job, ("running",))
    run.wait(lambda: len(run.running_tasks()) == 2, 5, "two running tasks")
    return job


def agents_of(run):
    """Returns the numbers of the agents whose workers run tasks."""
    return [a + 1 for a, w in enumerate(run.monitor.workers())
            if any(t["state"] == "running" for t in w.get("tasks", []))]


@scenario()
def lost_member(run):
    """kill -9 of one agent of a running gang of 16; all members stop and it runs again"""
    job = start_long_gang(run, "lost")
    lost = agents_of(run)[0]
    run.cluster.kill(f"agent-{lost}")
    time.sleep(5)
    run.cluster.start(f"agent-{lost}")
    run.wait_state(job, ("running",), 20)
    run.cancel(job)
    run.wait_state(job, ("cancelled",), 10)


@scenario(ci=True)
def lost_member_without_entries(run):
    """lost member while no entry runs: the other member stops within 4 s"""
    job = start_long_gang(run, "lost")
    lost, other = agents_of(run)
    for name in ("entry-1", "entry-2"):
        run.cluster.kill(name)
    time.sleep(0.5)
    run.cluster.kill(f"agent-{lost}")
    run.wait(lambda: other not in agents_of(run), 4, "the other member to stop")
    time.sleep(4)
    run.expect(not agents_of(run), "a member of the stopped gang runs")
    for name in ("entry-1", "entry-2", f"agent-{lost}"):
        run.cluster.start(name)
    run.wait(lambda: run.state(job) == "running", 25, "the gang to run again")
    run.cancel(job)
    run.wait_state(job, ("cancelled",), 10)


@scenario()
def failing_worker(run):
    """one worker fails every task; jobs end on the others"""
    run.cluster.fault(run.cluster.worker_port(1), fail_tasks=True)
    jobs = submit_many(run, 6, "bad", tasks=1, accelerators=4, command="run 1")
    expect_succeeded(run, jobs, 60)


@scenario(ci=True)
def cancel_races(run):
    """jobs are cancelled while they start and while they end"""
    jobs = []
    for number in range(8):
        job, _ = run.submit(f"race-{number}", command="run 0.6")
        jobs.append(job)
        time.sleep(0.08 * number)
        answers = []
        threads = [threading.Thread(target=lambda e=e: answers.append(run.cancel(job, e)))
                   for e in (1, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        run.expect(all(a.status == 200 for a in answers),
                   f"cancel: {[(a.status, a.text) for a in answers]}")
    for job in jobs:
        run.wait_state(job, ENDED, 15)
        run.expect(run.state(job) in ("cancelled", "succeeded"), f"{job} {run.state(job)}")
    run.wait(lambda: not run.running_tasks(), 5, "all tasks to stop")
