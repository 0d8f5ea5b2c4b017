"""Passes fabricated counts to the checks of the fault scenarios, to prove that each can fail."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "support"))
from faultjudge import (FaultWindow, SentRequest, judge_gangs, judge_jobs,  # noqa: E402
                        judge_requests, judge_revisions, judge_workers)


def answered(**changes):
    return SentRequest(**{"echo": "a", "idempotent": False, "outcome": "answered",
                          "request_id": "1", "reply_echo": "a", "reply_id": "1", "began": 10,
                          "ended": 11, "entry": 1, **changes})


def requests(sent, executions, echoes, fault_windows=()):
    return judge_requests(sent, executions, echoes, fault_windows)[0]


class Requests(unittest.TestCase):
    def test_true_answer_passes(self):
        counts = requests([answered()], {"1": 1}, {"a": 1})
        self.assertEqual(dict(counts), {"requests sent": 1, "requests answered": 1})

    def test_answer_of_another_request(self):
        counts = requests([answered(reply_echo="b")], {"1": 1}, {"a": 1})
        self.assertEqual(counts["answered wrongly"], 1)

    def test_answer_that_no_minion_gave(self):
        self.assertEqual(requests([answered()], {}, {})["answered wrongly"], 1)

    def test_not_run_that_ran_under_its_id(self):
        item = answered(outcome="not run", reply_echo="", reply_id="")
        self.assertEqual(requests([item], {"1": 1}, {})["not run that ran"], 1)

    def test_not_run_that_ran_under_another_id(self):
        for outcome in ("not run", "no connection"):
            item = answered(outcome=outcome, request_id="")
            self.assertEqual(requests([item], {}, {"a": 1})["not run that ran"], 1)

    def test_not_run_that_was_repeated_passes(self):
        sent = [answered(outcome="not run", request_id="0"), answered()]
        self.assertEqual(requests(sent, {"1": 1}, {"a": 1})["not run that ran"], 0)

    def test_second_execution(self):
        self.assertEqual(requests([answered()], {"1": 1}, {"a": 2})["ran more than once"], 1)
        again = [answered(idempotent=True)]
        self.assertEqual(requests(again, {"1": 1}, {"a": 2})["ran more than once"], 0)

    def test_outcomes_that_no_fault_explains(self):
        unknown = answered(outcome="unknown")
        broken = answered(outcome="broken")
        error = answered(outcome="error")
        entry_fault = FaultWindow(5, 20, entry=1)
        cases = [(unknown, (), 1), (unknown, (entry_fault,), 0),
                 (unknown, (FaultWindow(5, 20, unknown=False),), 1),
                 (unknown, (FaultWindow(12, 20),), 1), (unknown, (FaultWindow(5, 9),), 1),
                 (broken, (entry_fault,), 0), (broken, (FaultWindow(5, 20, entry=2),), 1),
                 (error, (entry_fault,), 1)]
        for item, faults, expected in cases:
            counts = requests([item], {"1": 1}, {"a": 1}, faults)
            self.assertEqual(counts["without definite outcome"], expected, (item, faults))


def task(job="j", attempt=1, number=0, total=2):
    return f"{job}/{attempt}/7/{number}/{total}/0/1"


class Gangs(unittest.TestCase):
    def test_partial_for_too_long(self):
        both = [task(number=0), task(number=1)]
        samples = [(0, both), (1, both[:1]), (5.1, both[:1]), (5.2, [])]
        self.assertEqual(judge_gangs(samples)[0]["gangs partial for too long"], 1)

    def test_partial_for_a_moment(self):
        both = [task(number=0), task(number=1)]
        samples = [(0, both[:1]), (3, both), (4, both[1:]), (7.9, both[1:]), (8, [])]
        self.assertEqual(judge_gangs(samples)[0]["gangs partial for too long"], 0)

    def test_several_tasks_of_one_member(self):
        one = "j/1/7/0/2/0/2"
        samples = [(0, [one, "j/1/7/0/2/1/2"]), (5, [one, "j/1/7/0/2/1/2"])]
        self.assertEqual(judge_gangs(samples)[0]["gangs partial for too long"], 1)

    def test_accelerators_used_twice(self):
        shared = [{"shared_accelerators": 1, "max_claimed": {"accelerators": 8}}]
        beyond = [{"shared_accelerators": 0, "max_claimed": {"accelerators": 9}}]
        fine = [{"shared_accelerators": 0, "max_claimed": {"accelerators": 8}}]
        for workers, expected in ((shared, 1), (beyond, 1), (fine, 0)):
            self.assertEqual(judge_workers(workers)[0]["accelerators used twice"], expected)


class Jobs(unittest.TestCase):
    def test_accepted_job_lost(self):
        for state, expected in (("UnknownJob", 1), ("", 1), ("running", 0)):
            counts = judge_jobs({"j": ("answered", True)}, {"j": state}, [])[0]
            self.assertEqual(counts["accepted jobs lost"], expected)

    def test_refused_job_that_ran(self):
        for outcome, expected in (("not run", 1), ("no connection", 1), ("unknown", 0)):
            counts = judge_jobs({"j": (outcome, True)}, {}, [task()])[0]
            self.assertEqual(counts["refused jobs that ran"], expected)

    def test_job_repeated_that_may_not(self):
        started = [task(attempt=1), task(attempt=2)]
        for repeatable, expected in ((False, 1), (True, 0)):
            counts = judge_jobs({"j": ("answered", repeatable)}, {"j": "failed"}, started)[0]
            self.assertEqual(counts["job repeated that may not"], expected)


class Revisions(unittest.TestCase):
    def test_going_back(self):
        seen = [(1, "agent-1", 2), (2, "agent-1", 1), (1, "agent-1", 0), (1, "agent-1", 2)]
        self.assertEqual(judge_revisions(seen)[0]["revisions that went back"], 0)
        seen.append((1, "agent-1", 1))
        self.assertEqual(judge_revisions(seen)[0]["revisions that went back"], 1)


if __name__ == "__main__":
    unittest.main()
