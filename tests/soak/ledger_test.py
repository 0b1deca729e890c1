"""Tests of the oracle: each promise that is broken is noticed."""

import types
import unittest

from ledger import DRAIN_S, Ledger


def upstream(name="i-1", left_at=None):
    return types.SimpleNamespace(name=name, left_at=left_at)


def request(body=b""):
    return types.SimpleNamespace(body=body)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger()
        self.ledger.expect("r", "at_most_once", b"fuel")

    def broken(self):
        return [line.split(":")[0] for line in self.ledger.violations]

    def test_one_run_and_its_answer_are_fine(self):
        self.ledger.ran("r", upstream(), request(b"fuel"))
        self.ledger.answered("r", 200)
        self.assertEqual(self.broken(), [])

    def test_a_second_run(self):
        self.ledger.ran("r", upstream(), request(b"fuel"))
        self.ledger.ran("r", upstream("i-2"), request(b"fuel"))
        self.assertEqual(self.broken(), ["ran twice"])

    def test_a_refusal_before_and_after_the_run(self):
        self.ledger.answered("r", 503)
        self.ledger.ran("r", upstream(), request(b"fuel"))
        self.ledger.answered("r", 503)
        self.assertEqual(self.broken(), ["ran after a refusal", "refusal that says not run"])

    def test_requests_that_no_caller_sent(self):
        self.ledger.ran("x", upstream(), request())
        self.ledger.ran("r", upstream(), request(b"fu"))
        self.assertEqual(self.broken(), ["unknown request", "changed request"])

    def test_a_request_after_the_drain(self):
        self.ledger.ran("r", upstream(left_at=-DRAIN_S), request(b"fuel"))
        self.assertEqual(self.broken(), ["drained upstream got a request"])

    def test_an_older_configuration(self):
        self.ledger.read_back(4, 4)
        self.ledger.read_back(3, 4)
        self.assertEqual(self.broken(), ["older configuration"])


if __name__ == "__main__":
    unittest.main()
