"""Simulated platform on loopback: its store and workers that run tasks. Implements the published
protocol without sharing code with the product, so that the deployed processes can be tested with
the adapter that they use in production."""

import base64
import collections
import http.server
import json
import random
import socket
import threading
import time
import urllib.parse


class NoAnswer(Exception):
    """Raised by a handler to close the connection without an answer."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else {}
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        try:
            status, answer = self.server.service.handle(url.path, query, body, self.headers)
        except NoAnswer:
            self.close_connection = True
            return
        data = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = serve

    def log_message(self, *arguments):
        pass


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, address, service):
        super().__init__(address, Handler)
        self.service = service
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignores connections closed by callers."""


class Store:
    """Versioned rows with conditional transactions and change feeds. All rows share one version
    counter."""

    MAX_HISTORY_ROWS = 2000

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.changed = threading.Condition()
        self.rows = {}
        self.version = 0
        self.history = collections.deque()
        self.truncated_version = 0
        # Fault: no history is kept.
        self.forgetting = False
        # Addresses that members announce, and the addresses that all read instead.
        self.substitutes = {}
        # Faults: maximum delay of a call in seconds, fraction of calls that are refused, fraction
        # of writes whose answer is lost, and fraction of writes that take effect seconds later.
        self.delay = 0.0
        self.refuse = 0.0
        self.lose = 0.0
        self.late = 0.0

    def handle(self, path, query, body, headers):
        if self.delay:
            time.sleep(self.delay * self.random.uniform(0.5, 1))
        if self.random.random() < self.refuse:
            return 503, {}
        if path == "/oleandercross/rows-tx":
            fault_draw = self.random.random()
            if fault_draw < self.late:
                wait = self.random.uniform(0.5, 3)
                threading.Timer(wait, self.transact, (body,)).start()
                time.sleep(0.7)
                raise NoAnswer
            answer = self.transact(body)
            if fault_draw < self.late + self.lose:
                raise NoAnswer
            return answer
        if path == "/oleandercross/rows-get":
            return self.read(query)
        if path == "/oleandercross/rows-feed":
            return self.feed(query)
        return 404, {}

    def name(self, row):
        return row["table"], row.get("part", ""), row["key"]

    def row_json(self, name):
        value, version = self.rows.get(name, ("", 0))
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "ver": version}

    def transact(self, body):
        with self.changed:
            expected = [(self.name(row), row["ver"]) for row in body.get("expected", [])]
            partitions = {self.name(row)[1] for entries in ("expected", "setKeys", "remove")
                          for row in body.get(entries, [])}
            if len(partitions) > 1 and not body.get("across", False):
                return 400, {"error": "the transaction spans partitions"}
            if any(self.rows.get(name, ("", 0))[1] != version for name, version in expected):
                rows = [self.row_json(name) for name, _ in expected]
                return 412, {"rows": rows, "ver": self.version, "nowMs": 0}
            self.version += 1
            for row in body.get("setKeys", []):
                value = base64.b64decode(row["value"], validate=True)
                if row["table"] == "members":
                    value = self.substitute(value)
                self.rows[self.name(row)] = (base64.b64encode(value).decode(), self.version)
                self.history.append((self.version, self.row_json(self.name(row))))
            for row in body.get("remove", []):
                if self.rows.pop(self.name(row), None):
                    removed_row = dict(self.row_json(self.name(row)), ver=self.version,
                                       tombstone=True)
                    self.history.append((self.version, removed_row))
            while len(self.history) > self.MAX_HISTORY_ROWS:
                self.truncated_version = self.history.popleft()[0]
            if self.forgetting:
                self.truncate_history()
            self.changed.notify_all()
            return 200, {"ver": self.version, "nowMs": 0}

    def substitute(self, value):
        for announced, shown in self.substitutes.items():
            value = value.replace(f'"{announced}"'.encode(), f'"{shown}"'.encode())
        return value

    def read(self, query):
        with self.changed:
            names = sorted(name for name in self.rows
                           if name[:2] == (query["table"], query.get("part", ""))
                           and name[2] >= query.get("from", ""))
            limit = int(query.get("limit", 500))
            rows = [self.row_json(name) for name in names[:limit]]
            return 200, {"rows": rows, "hasMore": len(names) > limit, "ver": self.version,
                         "nowMs": 0}

    def feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        with self.changed:
            while True:
                if after < self.truncated_version:
                    return 410, {}
                rows = [row for version, row in self.history
                        if version > after and row["table"] == query["table"]]
                remaining = end - time.monotonic()
                if rows or remaining <= 0:
                    return 200, {"rows": rows, "ver": self.version, "nowMs": 0}
                self.changed.wait(remaining)

    def truncate_history(self):
        with self.changed:
            self.history.clear()
            self.truncated_version = self.version

    def put(self, table, key, value):
        row = {"table": table, "part": "", "key": key,
               "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.transact({"setKeys": [row]})

    def remove(self, table, key):
        self.transact({"remove": [{"table": table, "part": "", "key": key}]})


class Run:
    def __init__(self, order, step, now):
        self.task, self.run = order["task"], order["run"]
        self.step = step
        self.checkpoint = order.get("lastCheckpoint", "")
        self.done = float(self.checkpoint or 0)
        self.started_at = self.updated = now


class Worker:
    """Simulated worker. `step_of` returns the step of a task by its name. Events are reported by
    calling on_event(kind, worker, task, run, detail)."""

    # The platform allows clocks of workers to be this slow.
    MAX_CLOCK_DRIFT = 0.02
    STOP_SECONDS = 0.15
    GANG_START_SECONDS = 3.0

    def __init__(self, name, host, port, rack, zone, capacity, step_of, on_event, seed):
        self.name, self.host, self.port, self.rack, self.zone = name, host, port, rack, zone
        self.capacity, self.step_of, self.on_event = capacity, step_of, on_event
        self.machine_kind = "a"
        self.random = random.Random(seed)
        self.changed = threading.Condition()
        # Faults: fraction of the orders that are carried out late, whether the calls that extend
        # the lease are among them, and by how many seconds.
        self.late, self.late_holds, self.late_seconds = 0.0, False, (0.5, 3)
        self.frozen = False
        self.clock_rate = 1 - self.random.uniform(0, self.MAX_CLOCK_DRIFT)
        self.generation = self.started_at_ms = 0
        self.earlier_report = None
        self.begin_incarnation(f"i-{name}-1")
        Server((host, port), self)
        threading.Thread(target=self.work, daemon=True).start()

    def begin_incarnation(self, identity, up=True):
        """Starts a new incarnation without any state of the previous one. It does not answer
        while it is not up."""
        with self.changed:
            if self.generation and self.up:
                self.earlier_report = self.heartbeat()
            self.generation += 1
            self.id, self.up = identity, up
            self.started_at_ms = max(int(time.time() * 1000), self.started_at_ms + 1)
            self.started_at = time.monotonic()
            self.fence = self.sequence = self.ended_number = 0
            # The time at which the lease was last seen over, on the worker's clock.
            self.lease = self.lapsed_at = 0.0
            self.runs, self.last_runs, self.ended, self.ended_at = {}, {}, [], {}
            self.on_event("life", self, None, 0, None)
            self.changed.notify_all()

    def crash(self, generation, pause=0.0, identity=None):
        """Ends this incarnation, if it is still the given one, and starts the next one after a
        pause, with a new identity unless one is given."""
        with self.changed:
            if generation != self.generation:
                return
            next_identity = identity or f"i-{self.name}-{generation + 1}"
            self.begin_incarnation(next_identity, up=not pause)
            if pause:
                threading.Timer(pause, self.crash, (generation + 1, 0.0, next_identity)).start()

    def now(self):
        return (time.monotonic() - self.started_at) * self.clock_rate

    def heartbeat(self, draining=False, remaining_ms=2000):
        with self.changed:
            self.sequence += 1
            return self.id, {
                **({"drainRemainingMs": remaining_ms} if draining else {}),
                "service": "service", "addr": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": "draining" if draining else "ready",
                "coldLeftMs": 0, "capacity": self.capacity, "labels": [self.machine_kind, self.rack],
                "clockMs": int(self.now() * 1000), "seq": self.sequence, "born": self.started_at_ms}

    def handle(self, path, query, body, headers):
        kind = path.rsplit("/", 1)[1]
        if not self.up:
            raise NoAnswer
        if headers.get("Oleandercross-Expect-Instance", self.id) != self.id:
            return 421, {}
        if (kind != "hold" or self.late_holds) and self.random.random() < self.late:
            threading.Timer(self.random.uniform(*self.late_seconds), self.execute,
                            (kind, dict(body, late=True, waitMs=0), self.generation)).start()
            time.sleep(1)
            raise NoAnswer
        return self.execute(kind, body, self.generation)

    def execute(self, kind, body, generation):
        with self.changed:
            if generation != self.generation or not self.up:
                return 421, {}
            self.end_lapsed_runs()
            if body["fence"] < self.fence:
                return self.answer(409, reason="fence")
            self.fence = body["fence"]
            self.lease = max(self.lease, min(body.get("untilMs", 0) / 1000, self.now() + 6))
            self.on_event("extended", self, None, 0, list(self.runs))
            if kind == "run-start":
                return self.start(body)
            if kind == "run-stop":
                return self.stop(body)
            return self.hold(body)

    def end_lapsed_runs(self):
        """Ends all runs if the lease is over, so that no later call revives them."""
        if self.now() > self.lease:
            self.lapsed_at = self.now()
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    def answer(self, status, **fields):
        return status, dict(fields, clockMs=int(self.now() * 1000), born=self.started_at_ms)

    def start(self, order):
        task, number = order["task"], order["run"]
        if task in self.runs and self.runs[task].run == number:
            return self.answer(200)
        if number <= self.last_runs.get(task, 0) or task in self.runs:
            return self.answer(409, reason="old")
        if self.lease <= self.now():
            return self.answer(409, reason="late")
        step = self.step_of(task)
        self.runs[task] = Run(order, step or {"cpu": 0, "work": 1}, self.now())
        self.on_event("start", self, task, number, order)
        return self.answer(200)

    def stop(self, order):
        task, number = order["task"], order["run"]
        self.last_runs[task] = max(self.last_runs.get(task, 0), number)
        if task in self.runs and self.runs[task].run == number:
            generation = self.generation
            threading.Timer(self.STOP_SECONDS, self.end_if, (generation, task, number)).start()
        return self.answer(200)

    def end_if(self, generation, task, number):
        with self.changed:
            if generation == self.generation and task in self.runs \
                    and self.runs[task].run == number:
                self.end(self.runs[task], "stopped")

    def hold(self, body):
        for entry in [e for e in self.ended if e[0] <= body.get("ackCursor", 0)]:
            self.ended.remove(entry)
            ended_at = self.ended_at.pop(entry[0])
            self.on_event("acknowledged", self, entry[1], entry[2],
                          {"how": entry[3], "seconds_ago": self.now() - ended_at,
                           "lapsed_since": self.lapsed_at > ended_at})
        until, generation = time.monotonic() + body.get("waitMs", 0) / 1000, self.generation
        while not self.ended and until > time.monotonic() and generation == self.generation:
            self.changed.wait(until - time.monotonic())
        running = [[r.task, r.run, r.checkpoint, int(100 * min(1, r.done / r.step["work"])), 0]
                   for r in self.runs.values()]
        return self.answer(200, running=running, ended=self.ended[:500])

    def end(self, run, how):
        del self.runs[run.task]
        self.last_runs[run.task] = max(self.last_runs.get(run.task, 0), run.run)
        if run.step.get("checkpointable") and how == "stopped":
            run.checkpoint = str(run.done)
        self.ended_number += 1
        self.ended_at[self.ended_number] = self.now()
        self.ended.append([self.ended_number, run.task, run.run, how, run.checkpoint])
        self.on_event("end", self, run.task, run.run, how)
        self.changed.notify_all()

    def work(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                self.end_lapsed_runs()
                for run in list(self.runs.values()):
                    now = self.now()
                    passed, run.updated = now - run.updated, now
                    gang = run.step.get("gang")
                    gang_state = not gang or self.on_event("gang", self, run.task, run.run, None)
                    if gang_state == "broken":
                        self.end(run, "broken")
                    elif gang_state:
                        run.done += 0 if self.frozen else passed
                    elif now - run.started_at > self.GANG_START_SECONDS:
                        self.end(run, "alone")
                    if run.task in self.runs and run.done >= run.step["work"]:
                        self.end(run, "done")


class Proxy:
    """Forwards connections to another address. Can delay, reset, silence or cut them in one
    direction, or hold their data back until later."""

    MAX_RESEND_SECONDS = 3.0

    def __init__(self, listen, target):
        self.target, self.delay, self.mode = target, 0.0, "pass"
        self.random = random.Random(listen[0])
        self.connections = []
        # The ends of connections on which no data arrives any more.
        self.dead_ends = set()
        self.listener = socket.create_server(listen, backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            if self.mode == "reset":
                client.close()
                continue
            try:
                upstream = socket.create_connection(self.target, 2)
                # The time limit is for connecting only; a link may be silent for longer.
                upstream.settimeout(None)
            except OSError:
                client.close()
                continue
            self.connections = [c for c in self.connections if c[0].fileno() >= 0] \
                + [(client, upstream)]
            threading.Thread(target=self.pump, args=(client, upstream, "there"),
                             daemon=True).start()
            threading.Thread(target=self.pump, args=(upstream, client, "back"),
                             daemon=True).start()

    def pump(self, source, sink, direction):
        try:
            while data := source.recv(65536):
                if self.delay:
                    time.sleep(self.delay)
                held = self.mode in ("held", f"held {direction}")
                while self.mode in ("held", f"held {direction}"):
                    time.sleep(0.02)
                # After an outage, data is sent again at a time of the connection's own.
                time.sleep(self.random.uniform(0, self.MAX_RESEND_SECONDS) if held else 0)
                # Data on a silent or one-way cut connection is discarded, not buffered.
                if self.mode not in ("silent", direction) and source not in self.dead_ends:
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()

    def lose_connections(self):
        """Leaves the open connections without an answer for good, as when a peer loses power."""
        self.dead_ends = {end for connection in self.connections for end in connection}

    def reset(self):
        for client, upstream in self.connections:
            for end in (client, upstream):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
