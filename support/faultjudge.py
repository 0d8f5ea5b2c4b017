"""Compares the outcomes reported to callers with the counts of minions and workers.

All functions are pure, so that test/faults/tst_faultjudge.py can pass them fabricated counts."""

import collections
import dataclasses

# Limit of the design page between the failure of one member and the stop of the last one.
PARTIAL_LIMIT_SECONDS = 4.0
# Outcomes that guarantee that the request did not run.
NOT_RUN = ("not run", "no connection")
LOST = ("UnknownJob", "UnknownRequest")
VIOLATIONS = ("not run that ran", "ran more than once", "answered wrongly",
              "without definite outcome", "gangs partial for too long", "accelerators used twice",
              "accepted jobs lost", "refused jobs that ran", "job repeated that may not",
              "revisions that went back", "other violations")


@dataclasses.dataclass
class SentRequest:
    """An attempt of a caller. All attempts of one logical request have the same `echo`."""
    echo: str
    idempotent: bool
    outcome: str
    request_id: str = ""
    reply_echo: str = ""
    reply_id: str = ""
    code: int = 0
    began: float = 0
    ended: float = 0
    entry: int = 0
    text: str = ""


@dataclasses.dataclass
class FaultWindow:
    """A period in which a fault accounts for broken connections to `entry` and, if `unknown` is
    set, for unknown outcomes."""
    began: float
    ended: float
    entry: int = 0
    unknown: bool = True

    def explains(self, sent):
        if sent.ended < self.began or sent.began > self.ended:
            return False
        if sent.outcome == "broken":
            return self.entry == sent.entry
        return sent.outcome == "unknown" and self.unknown


def judge_requests(sent, executions, echoes, fault_windows):
    """Checks the outcomes of requests. `executions` has the count of each request id, `echoes` that
    of each logical request."""
    counts = collections.Counter()
    findings = []

    def violation(what, item):
        counts[what] += 1
        findings.append(f"{what}: {item}")

    reported_not_run = collections.defaultdict(list)
    for item in sent:
        counts["requests sent"] += 1
        counts[f"requests {item.outcome}" + (f" {item.code}" if item.code else "")] += 1
        reported_not_run[item.echo].append(item.outcome in NOT_RUN)
        if item.outcome == "answered":
            if item.reply_echo != item.echo or not executions.get(item.reply_id):
                violation("answered wrongly", item)
        elif item.outcome in NOT_RUN:
            if executions.get(item.request_id):
                violation("not run that ran", item)
        elif not any(d.explains(item) for d in fault_windows):
            violation("without definite outcome", item)
    for echo, all_not_run in reported_not_run.items():
        if all(all_not_run) and echoes.get(echo):
            violation("not run that ran", echo)
    once = {item.echo for item in sent if not item.idempotent}
    for echo in once:
        if echoes.get(echo, 0) > 1:
            violation("ran more than once", f"{echo} ran {echoes[echo]} times")
    return counts, findings


def parse_task(task_id):
    """Parses JOB/ATTEMPT/EPOCH/MEMBER/MEMBERS/TASK/TASKS. Returns (job, attempt), the member, the
    number of members and the number of the member's tasks."""
    parts = task_id.rsplit("/", 6)
    return (parts[0], int(parts[1])), int(parts[3]), int(parts[4]), int(parts[6])


def partial_gangs(running):
    """Returns the gangs of which only some tasks run."""
    tasks = collections.Counter()
    sizes = {}
    for task_id in running:
        gang, member, members, size = parse_task(task_id)
        tasks[gang, member] += 1
        sizes[gang, member] = size
    present = collections.Counter(gang for gang, _ in tasks)
    expected = {parse_task(t)[0]: parse_task(t)[2] for t in running}
    return ({gang for gang, members in expected.items() if present[gang] < members}
            | {key[0] for key, number in tasks.items() if number < sizes[key]})


def longest_partial(samples):
    """Returns for each gang the longest period in which only some of its tasks ran. A sample
    consists of its time and the ids of all running tasks."""
    since = {}
    longest = collections.Counter()
    for when, running in samples:
        partial = partial_gangs(running)
        for gang in partial:
            since.setdefault(gang, when)
            longest[gang] = max(longest[gang], when - since[gang])
        since = {gang: began for gang, began in since.items() if gang in partial}
    return longest


def judge_gangs(samples):
    counts = collections.Counter()
    findings = []
    for gang, seconds in longest_partial(samples).items():
        counts["gangs seen partial"] += 1
        counts["longest partial ms"] = max(counts["longest partial ms"], round(seconds * 1000))
        if seconds > PARTIAL_LIMIT_SECONDS:
            counts["gangs partial for too long"] += 1
            findings.append(f"gang {gang} partial for {seconds:.2f} s")
    return counts, findings


def judge_workers(workers):
    """Checks that no accelerator was assigned twice. `workers` has the counts of the workers."""
    counts = collections.Counter()
    findings = []
    for counted in workers:
        shared = counted.get("shared_accelerators", 0)
        beyond = counted.get("max_claimed", {}).get("accelerators", 0) > 8
        counts["accelerators used twice"] += shared + beyond
        if shared or beyond:
            findings.append(f"accelerators used twice: {shared}, {counted.get('max_claimed')}")
    return counts, findings


def judge_jobs(submitted, found, started):
    """Checks the outcomes of jobs. `submitted` maps job ids to (outcome, repeatable), `found` maps
    accepted job ids to the last state or the name of the error, and `started` has the ids of all
    tasks started by any worker."""
    counts = collections.Counter()
    findings = []

    def violation(what, item):
        counts[what] += 1
        findings.append(f"{what}: {item}")

    attempts = collections.defaultdict(set)
    for task in started:
        job, attempt = parse_task(task)[0]
        attempts[job].add(attempt)
    for job, (outcome, repeatable) in submitted.items():
        counts["jobs submitted"] += 1
        counts[f"jobs {outcome}"] += 1
        if outcome == "answered" and found.get(job) in (None, "", *LOST):
            violation("accepted jobs lost", f"{job} {found.get(job)}")
        if outcome in (*NOT_RUN, "error") and job in attempts:
            violation("refused jobs that ran", job)
        if not repeatable and len(attempts[job]) > 1:
            violation("job repeated that may not", job)
    return counts, findings


def judge_revisions(observations):
    """Checks that revisions never decrease. `observations` has (observer, node, revision) in order;
    revision 0 means not known yet."""
    counts = collections.Counter()
    findings = []
    newest = {}
    for observer, node, revision in observations:
        before = newest.get((observer, node), 0)
        if 0 < revision < before:
            counts["revisions that went back"] += 1
            findings.append(f"{observer} saw {node} go from revision {before} to {revision}")
        newest[(observer, node)] = max(before, revision)
    return counts, findings
