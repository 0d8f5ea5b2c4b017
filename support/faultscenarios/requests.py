"""Crashes, pauses and minion faults during short requests, and callers that disconnect or retry."""

import signal
import socket
import threading
import time

from faultharness import call, scenario


@scenario(ci=True)
def kill_entry_during_requests(run):
    """kill -9 of an entry under load; the other one continues to serve"""
    with run.load(work_ms=100, pause=0.01):
        time.sleep(1)
        with run.fault_window(entry=2):
            run.cluster.kill("entry-2")
            time.sleep(1)
            run.cluster.start("entry-2")
            run.wait(lambda: run.cluster.status(2).get("revision"), 10, "entry-2")
        time.sleep(1)
    failed = [item for item in run.sent if item.entry == 1 and item.outcome != "answered"]
    run.expect(not failed, f"{len(failed)} requests failed at the other entry: {failed[:2]}")


@scenario(ci=True)
def kill_agent_during_requests(run):
    """kill -9 of an agent under load; its new incarnation refuses the old one's requests"""
    with run.load(callers=12, work_ms=200, pause=0, once_every=2):
        time.sleep(1)
        with run.fault_window():
            run.cluster.kill("agent-1")
            time.sleep(1)
            run.cluster.start("agent-1")
            time.sleep(2)


def pause(run, name, seconds, entry=0):
    with run.fault_window(entry=entry):
        run.cluster.send_signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        run.cluster.send_signal(name, signal.SIGCONT)
        time.sleep(1)


@scenario()
def pause_entry(run):
    """SIGSTOP of the entry that does not lead, for 1 s and 6 s"""
    other = "entry-2" if run.cluster.leader() == "entry-1" else "entry-1"
    with run.load():
        for seconds in (1, 6):
            pause(run, other, seconds, int(other[-1]))
            time.sleep(1)


@scenario()
def pause_agent(run):
    """SIGSTOP of an agent under load, for 1 s and 6 s"""
    with run.load():
        for seconds in (1, 6):
            pause(run, "agent-1", seconds)
            time.sleep(1)


@scenario(ci=True)
def minion_answers(run):
    """minions cut, shorten, swap, delay, double and withhold answers"""
    with run.load(work_ms=5):
        for kind in ("cut", "shorten", "swap", "late", "twice", "lose", "close", "defer"):
            with run.fault_window():
                run.fault_minions(**{kind: 2})
                time.sleep(0.5)
    run.fault_minions(clear=True)


@scenario()
def minion_stalls(run):
    """connections to minions go silent after the request was executed or before"""
    with run.load(deadline_ms=4000):
        with run.fault_window():
            run.fault_minions(stall=2)
            time.sleep(3)
            run.fault_minions(ignore=2)
            time.sleep(3)
    run.fault_minions(clear=True)
    for number in range(12):
        item = run.send(f"after-{number}", entry=1 + number % 2)
        run.expect(item.outcome == "answered", f"after the stalls: {item}")


@scenario()
def minion_refuses_everything(run):
    """one minion refuses everything; requests go to the others"""
    port = run.cluster.minion_port(1, 0)
    run.cluster.fault(port, outage_ms=60000, outage="refuse")
    with run.load():
        time.sleep(4)
    answered = sum(s.outcome == "answered" for s in run.sent)
    run.expect(answered >= 0.9 * len(run.sent), f"only {answered} of {len(run.sent)} answered")
    run.cluster.fault(port, clear=True)


def open_request(run, echo, work_ms):
    """Sends a request without reading its answer and returns the socket."""
    body = f'{{"work_ms": {work_ms}, "echo": "{echo}"}}'
    sock = socket.create_connection(("127.0.0.1", run.cluster.entry_port(1)))
    sock.sendall(f"POST /v1/services/booking-desk/requests HTTP/1.1\r\nHost: x\r\n"
                 f"Authorization: Bearer families-token\r\nX-Deadline-Ms: 60000\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
    return sock


@scenario(ci=True)
def callers_disconnect(run):
    """callers disconnect during long requests; the slots become free"""
    sockets = [open_request(run, f"left-{n}", 30000) for n in range(12)]
    run.wait(lambda: run.minion_running() >= 8, 5, "running requests")
    for sock in sockets:
        sock.close()
    run.wait(lambda: run.minion_running() == 0, 5, "free slots after disconnects")
    for number in range(10):
        item = run.send(f"after-{number}")
        run.expect(item.outcome == "answered", f"after disconnects: {item}")


def send_both(run, echo, second_after=0.0, work_ms=300):
    """Sends the same keyed request through both entries."""
    def second():
        time.sleep(second_after)
        run.send(echo, entry=2, idempotent=False, key=echo, work_ms=work_ms)
    thread = threading.Thread(target=second)
    thread.start()
    run.send(echo, entry=1, idempotent=False, key=echo, work_ms=work_ms)
    thread.join()


@scenario(ci=True)
def resend_through_other_entry(run):
    """a keyed non-idempotent request through both entries runs once; both get its answer"""
    for number in range(12):
        send_both(run, f"twice-{number}", second_after=0.05 * (number % 4), work_ms=150)
    answers = {}
    for item in run.sent:
        answers.setdefault(item.echo, set()).add(item.reply_id)
    run.expect(all(len(ids) == 1 for ids in answers.values()), f"different answers: {answers}")


@scenario(ci=True)
def resend_after_kill(run):
    """a keyed request is sent again through the other entry after a kill of the first"""
    for number in range(3):
        echo = f"killed-{number}"
        first = threading.Thread(target=run.send, args=(echo,), kwargs={
            "entry": 2, "idempotent": False, "key": echo, "work_ms": 400})
        with run.fault_window(entry=2):
            first.start()
            time.sleep(0.1 + 0.1 * number)
            run.cluster.kill("entry-2")
            first.join()
        item = run.send(echo, entry=1, idempotent=False, key=echo, work_ms=400)
        run.expect(item.outcome == "answered", f"second attempt: {item}")
        run.cluster.start("entry-2")
        run.wait(lambda: call(run.cluster.entry_port(2), "GET", "/readyz").status == 200, 10,
                 "entry-2")
        time.sleep(1.5)


@scenario()
def rolling_restart(run):
    """SIGTERM and restart of every process under load; callers repeat what did not run"""
    cluster = run.cluster
    with run.load(send=run.send_until_definite):
        for name in ("entry-1", "entry-2", "agent-1", "agent-2", "agent-3"):
            status = cluster.terminate(name)
            run.expect(status == 0, f"{name} exited with {status}")
            cluster.start(name)
            if name.startswith("entry"):
                run.wait(lambda: call(cluster.entry_port(int(name[-1])), "GET",
                                      "/readyz").status == 200, 10, f"{name} ready")
            time.sleep(3)
    last = {item.echo: item for item in run.sent}
    unanswered = [item for item in last.values() if item.outcome != "answered"]
    run.expect(not unanswered, f"{len(unanswered)} requests without an answer: {unanswered[:2]}")
