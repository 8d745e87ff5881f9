"""The HTTP log client against the stand-in of the log service."""

from __future__ import annotations

import unittest

from citronrack.bench.fleet import free_address
from citronrack.errors import AppendRefused, AppendUnknown, LogTrimmed, LogUnavailable
from citronrack.log.http import HttpLogClient
from citronrack.standins.log_service import LogServiceStandIn


class LogServiceTest(unittest.TestCase):
    """Guards against a client that reports an append as refused although it may be in the log."""

    def setUp(self) -> None:
        self.service = LogServiceStandIn(retention=4)
        self.service.start()
        self.addCleanup(self.service.stop)
        self.client = HttpLogClient(self.service.url)
        self.addCleanup(self.client.close)

    def end(self) -> int:
        """Return the end of the records stream."""
        return self.service.store.end("records")

    def test_faults_of_appends(self) -> None:
        """Fails if the result of an append contradicted the content of the log."""
        self.assertEqual(self.client.append("records", b"a"), 0)
        for fault, effect in (("lose_answers", 1), ("hold_appends", 0)):
            before = self.end()
            setattr(self.service.faults, fault, 1)
            with self.assertRaises(AppendUnknown):
                self.client.append("records", b"b")
            self.assertEqual(self.end(), before + effect)
        self.service.store.release_held()
        self.service.faults.duplicate_appends = 1
        self.assertEqual(self.client.append("records", b"c"), 4)
        self.service.faults.outage = True
        with self.assertRaises(AppendUnknown):
            self.client.append("records", b"d")
        with self.assertRaises(AppendRefused):
            HttpLogClient(f"http://{free_address()}").append("records", b"e")
        self.assertEqual((self.end(), self.service.appends), (5, 5))

    def test_slow_answer_is_unknown(self) -> None:
        """Fails if an append without a response in time was reported as refused."""
        self.service.faults.delay_ms = 400
        client = HttpLogClient(self.service.url, answer_timeout_ms=50)
        self.addCleanup(client.close)
        with self.assertRaises(AppendUnknown):
            client.append("records", b"a")
        with self.assertRaises(LogUnavailable):
            client.read("records", 0, limit=1, wait_ms=0)

    def test_reads(self) -> None:
        """Fails if a page was wrong, or trimmed and not yet written records were confused."""
        for index in range(6):
            self.client.append("records", bytes([index + 1]))
        with self.assertRaises(LogTrimmed) as trimmed:
            self.client.read("records", 0, limit=9, wait_ms=0)
        self.assertEqual(trimmed.exception.first, 2)
        page = self.client.read("records", 2, limit=2, wait_ms=0)
        self.assertEqual((page.first, page.end), (2, 6))
        self.assertEqual(page.records, ((2, b"\x03"), (3, b"\x04")))
        self.assertEqual(self.client.read("records", 6, limit=1, wait_ms=10).records, ())
        self.service.faults.outage = True
        with self.assertRaises(LogUnavailable):
            self.client.read("records", 6, limit=1, wait_ms=0)
