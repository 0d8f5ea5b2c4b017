"""Malformed input to every HTTP route."""

import json
import socket

from faultharness import OPERATOR_TOKEN, call, scenario

CALLER = {"Authorization": "Bearer families-token"}
OPERATOR = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
JOB = {"dataCentre": "brum", "team": "rota", "tasks": 1, "cores": 1, "memoryMb": 1,
       "command": "run 0.1"}
SERVICE = "/v1/services/booking-desk/requests"
ROUTES = (("POST", SERVICE), ("GET", "/v1/requests/x"), ("POST", "/v1/jobs"),
          ("GET", "/v1/jobs/brum.x"), ("DELETE", "/v1/jobs/brum.x"),
          ("GET", "/v1/jobs/brum.x/explain"), ("GET", "/v1/manifest"),
          ("GET", "/v1/manifest/history"), ("POST", "/v1/manifest"), ("GET", "/v1/status"),
          ("GET", "/v1/report"))


def cases():
    """Yields (description, expected code, method, path, headers, body)."""
    for method, path in ROUTES:
        for token in ({}, {"Authorization": "Bearer wrong"}, {"Authorization": "Basic x"}):
            yield "token", 206, method, path, token, "{}" if method == "POST" else None
    for path in ("/", "/v1", "/v1/jobs/a/b/c", "/v1/services//requests", "/v2/jobs"):
        yield "path", 214, "GET", path, CALLER, None
    yield "method", 214, "PUT", "/v1/jobs", CALLER, "{}"
    yield "method", 214, "DELETE", "/v1/status", OPERATOR, None
    yield from job_cases()
    yield from request_cases()
    yield from manifest_cases()


def job_cases():
    for text in ("", "{", "nonsense", "{} {}", "[" * 5000, '{"tasks":1,"tasks":2}', "\x00"):
        yield "JSON", 201, "POST", "/v1/jobs", CALLER, text
    for text in ("[]", "null", '"x"', json.dumps({**JOB, "unknown": 1}),
                 json.dumps({**JOB, "tasks": "1"}), json.dumps({**JOB, "hard": 1}),
                 json.dumps({**JOB, "adjacency": "moon"}),
                 json.dumps({**JOB, "dataCentre": "moon"})):
        yield "field", 202, "POST", "/v1/jobs", CALLER, text
    for field in ("tasks", "cores", "memoryMb"):
        for value in (0, -1, 10 ** 12):
            yield "size", 203, "POST", "/v1/jobs", CALLER, json.dumps({**JOB, field: value})
    yield "size", 203, "POST", "/v1/jobs", CALLER, json.dumps({**JOB, "accelerators": -1})
    yield "never fits", 212, "POST", "/v1/jobs", CALLER, json.dumps({**JOB, "cores": 33})
    yield "team", 213, "POST", "/v1/jobs", CALLER, json.dumps({**JOB, "team": "nobody"})
    yield "key", 203, "POST", "/v1/jobs", {**CALLER, "Idempotency-Key": "k" * 129}, json.dumps(JOB)
    yield "body", 208, "POST", "/v1/jobs", CALLER, "x" * (16 << 20)
    for path in ("/v1/jobs/brum.x", "/v1/jobs/x", "/v1/jobs/moon.x", "/v1/jobs/%00",
                 "/v1/jobs/brum.x/explain", "/v1/jobs/" + "x" * 2000):
        yield "job", 209, "GET", path, CALLER, None
    yield "job", 209, "DELETE", "/v1/jobs/brum.x", CALLER, None
    for wait in ("-1", "61", "x", ""):
        yield "wait", 202, "GET", f"/v1/jobs/brum.x?wait={wait}", CALLER, None


def request_cases():
    for name, value in (("X-Idempotent", "yes"), ("X-Deadline-Ms", "0"), ("X-Deadline-Ms", "-5"),
                        ("X-Deadline-Ms", "x"), ("X-Deadline-Ms", "600001"),
                        ("X-Deadline-Ms", "99999999999999999999"), ("Idempotency-Key", "a b"),
                        ("Idempotency-Key", "a/b"), ("Idempotency-Key", "k" * 129)):
        yield name, 202, "POST", SERVICE, {**CALLER, name: value}, "{}"
    yield "service", 204, "POST", "/v1/services/none/requests", CALLER, "{}"
    yield "account", 207, "POST", "/v1/services/contract-drafts/requests", CALLER, "{}"
    yield "body", 208, "POST", SERVICE, CALLER, "x" * (16 << 20)
    yield "key", 210, "GET", "/v1/requests/never-sent", CALLER, None
    yield "key", 202, "GET", "/v1/requests/" + "k" * 129, CALLER, None


def manifest_cases():
    for text in ("", "{", '{"parent":1,"parent":2}'):
        yield "JSON", 201, "POST", "/v1/manifest", OPERATOR, text
    for text in ("[]", "null", "{}", '{"parent":-1,"writeId":"w","yaml":"x"}',
                 '{"parent":1,"writeId":"","yaml":"x"}', '{"parent":"1","writeId":"w","yaml":"x"}',
                 '{"parent":1,"writeId":"w","yaml":"x","unknown":1}'):
        yield "field", 202, "POST", "/v1/manifest", OPERATOR, text
    yield "YAML", 101, "POST", "/v1/manifest", OPERATOR, json.dumps(
        {"parent": 1, "writeId": "w", "yaml": "a: [", "comment": ""})
    for number in ("0", "-1", "x"):
        yield "revision", 202, "GET", f"/v1/manifest?revision={number}", OPERATOR, None
    yield "revision", 112, "GET", "/v1/manifest?revision=999", OPERATOR, None


def send_raw(run, data):
    """Sends bytes that no client library produces. The server must answer or close the connection
    before the time-out."""
    with socket.create_connection(("127.0.0.1", run.cluster.entry_port(1)), timeout=15) as sock:
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65536):
                pass
        except ConnectionError:
            pass


@scenario(ci=True)
def malformed_input(run):
    """malformed input to every route gets its numbered error and nothing is lost"""
    job, _ = run.submit("running", tasks=1, command="run 60")
    run.wait_state(job, ("running",))
    port = run.cluster.entry_port(1)
    for what, code, method, path, headers, body in cases():
        answer = call(port, method, path, body, headers)
        run.expect(answer.json().get("code") == code if answer.text else False,
                   f"{what}: {method} {path[:60]} {str(body)[:50]} {str(headers)[:60]}: wanted"
                   f" {code}, got {answer.status} {answer.text[:150]}")
    for data in (b"\r\n\r\n", b"GET\r\n\r\n", b"\xff" * 1000,
                 b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 5000,
                 b"GET / HTTP/1.1\r\nA: " + b"b" * (1 << 20) + b"\r\n\r\n",
                 b"POST /v1/jobs HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                 b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
                 b"GET /" + b"x" * 100000 + b" HTTP/1.1\r\n\r\n"):
        send_raw(run, data)
    run.expect(run.state(job) == "running", "the running job after malformed input")
    item = run.send("after")
    run.expect(item.outcome == "answered", f"after malformed input: {item}")
    run.cancel(job)
