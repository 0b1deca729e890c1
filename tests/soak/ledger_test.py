"""Tests that the ledger reports each violation of a guarantee that it tracks."""

import types
import unittest

from ledger import MAX_DRAIN_S, Ledger


def upstream(name="i-1", left_at=None):
    return types.SimpleNamespace(name=name, left_at=left_at)


def request(body=b""):
    return types.SimpleNamespace(body=body)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger()
        self.ledger.record_request("r", "at_most_once", b"fuel")

    def violations(self):
        return [line.split(":")[0] for line in self.ledger.violations]

    def test_accepts_one_run_and_its_response(self):
        self.ledger.record_run("r", upstream(), request(b"fuel"))
        self.ledger.record_response("r", 200)
        self.assertEqual(self.violations(), [])

    def test_reports_a_second_run(self):
        self.ledger.record_run("r", upstream(), request(b"fuel"))
        self.ledger.record_run("r", upstream("i-2"), request(b"fuel"))
        self.assertEqual(self.violations(), ["ran twice"])

    def test_reports_not_run_statuses_before_and_after_a_run(self):
        self.ledger.record_response("r", 503)
        self.ledger.record_run("r", upstream(), request(b"fuel"))
        self.ledger.record_response("r", 503)
        self.assertEqual(self.violations(), ["ran after a refusal", "refusal that says not run"])

    def test_reports_a_not_run_status_of_a_repeatable_request_that_ran(self):
        self.ledger.record_request("g", "repeatable")
        self.ledger.record_run("g", upstream(), request())
        self.ledger.record_response("g", 503)
        self.assertEqual(self.violations(), ["refusal that says not run"])

    def test_reports_unknown_and_changed_requests(self):
        self.ledger.record_run("x", upstream(), request())
        self.ledger.record_run("r", upstream(), request(b"fu"))
        self.assertEqual(self.violations(), ["unknown request", "changed request"])

    def test_reports_a_request_after_the_drain(self):
        self.ledger.record_run("r", upstream(left_at=-MAX_DRAIN_S), request(b"fuel"))
        self.assertEqual(self.violations(), ["drained upstream got a request"])

    def test_reports_an_older_configuration(self):
        self.ledger.check_read(4, 4)
        self.ledger.check_read(3, 4)
        self.assertEqual(self.violations(), ["older configuration"])


if __name__ == "__main__":
    unittest.main()
