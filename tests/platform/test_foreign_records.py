"""Answers of the store and reports with values that no decoder expects."""

from __future__ import annotations

import json
import unittest
from typing import Any

from citronrack.errors import AppendUnknown, LogUnavailable, SettingsError
from citronrack.hosted.control import ReportInvalid
from citronrack.hosted.store import KeyedRecord
from citronrack.platform.operator import ConfigDecoder, decode_order
from citronrack.platform.reports import decode_report
from citronrack.platform.settings import parse_settings
from citronrack.platform.store import decode_newest_page, decode_offset

NESTED = b"[" * 200_000 + b"]" * 200_000
GOOD_ITEM = b'{"key": "a", "value": "MQ==", "offset": 3}'
ODD_ITEMS = (
    b"1e999",
    b"null",
    b'"x"',
    b"[]",
    b"{}",
    b'{"key": 5, "value": "MQ==", "offset": 3}',
    b'{"key": "b", "value": 7, "offset": 3}',
    b'{"key": "\\ud800", "value": "MQ==", "offset": 3}',
    b'{"key": "b", "value": "M", "offset": 3}',
    b'{"key": "b", "value": "\\u20ac", "offset": 3}',
    b'{"key": "b", "value": "MQ==", "offset": 1e999}',
    b'{"key": "b", "value": "MQ==", "offset": -1}',
    b'{"key": "b", "value": "MQ==", "offset": 1e300}',
    b'{"key": "b", "value": "MQ==", "offset": 99999999999999999999}',
    b'{"key": "b", "value": "MQ==", "offset": true}',
    b'{"key": "b", "value": "MQ==", "offset": "3"}',
    b'{"key": "b", "value": "MQ==", "offset": NaN}',
)
REPORT = {
    "address": "10.0.0.1:80",
    "born": 1_700_000_000_000,
    "info": {"service": "s", "version": "v1", "zone": "z", "capacity": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining": "0ms"},
}
ODD_REPORTS: tuple[tuple[str, Any], ...] = (
    ("born", 10**30),
    ("born", -1),
    ("born", 1.5),
    ("address", 5),
    ("capacity", 10**30),
    ("capacity", 0),
    ("capacity", True),
    ("sequence", 10**30),
    ("sequence", -1),
    ("cold_remaining", "infs"),
    ("cold_remaining", "nans"),
    ("cold_remaining", "1e400s"),
    ("cold_remaining", "9" * 400 + "s"),
    ("service", "\ud800"),
    ("service", "s" * 1000),
    ("version", "\u0000"),
    ("state", []),
    ("state", "odd"),
)
ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/r/",
    "kind": "idempotent",
    "timeout": "1s",
    "target_latency": "200ms",
    "service": "s",
    "max_attempts": 2,
    "priority": 1,
    "weighted_clusters": None,
}
ODD_ROUTES: tuple[tuple[str, Any], ...] = (
    ("name", []),
    ("host", 7),
    ("prefix", None),
    ("kind", {}),
    ("timeout", "1e400s"),
    ("timeout", "nans"),
    ("timeout", 5),
    ("target_latency", "infs"),
    ("service", None),
    ("max_attempts", "2"),
    ("max_attempts", 10**30),
    ("priority", 1.5),
    ("priority", []),
    ("weighted_clusters", 5),
    ("weighted_clusters", ["s"]),
    ("weighted_clusters", [{"service": "s"}]),
    ("weighted_clusters", [{"service": "s", "weight": 10**30}]),
    ("weighted_clusters", [{"service": "s", "weight": -1}]),
)


def config_value(**fields: Any) -> bytes:
    """Return a configuration with one route, some of whose fields are replaced."""
    route = {**ROUTE, **fields}
    config = {
        "version": 3,
        "routes": {"columns": list(route), "rows": [list(route.values())]},
        "services": {"columns": ["name"], "rows": [["s"]]},
    }
    return json.dumps(config).encode()


class StoreAnswerTest(unittest.TestCase):
    """Bodies of the store."""

    def test_odd_item_costs_that_item(self) -> None:
        """Guards against a page that cannot be read because of one entry in it."""
        for item in ODD_ITEMS:
            with self.subTest(item=item):
                body = b'{"items": [%b, %b], "has_more": false, "end": 9}' % (item, GOOD_ITEM)
                page = decode_newest_page(body, era=1)
                self.assertEqual([record.key for record in page.records], ["a"])
                self.assertEqual(page.unreadable, 1)

    def test_odd_page(self) -> None:
        """Guards against an answer that ends the task that reads it."""
        bodies = (NESTED, b"", b"[]", b"{}", b"\xff", b"1" * 9_000, b'{"items": {}, "end": 1}')
        ends = (b"1e999", b"-1", b"true", b"null", b'"1"', b"1e300", b"9" * 30)
        pages = (b'{"items": [], "end": %b}' % end for end in ends)
        for body in (*bodies, *pages):
            with self.subTest(body=body[:60]), self.assertRaises(LogUnavailable):
                decode_newest_page(body, era=1)

    def test_odd_answer_to_an_append(self) -> None:
        """Guards against an append that ends the task that writes, and against a false offset."""
        for body in (NESTED, b"{}", b'{"offset": 1e999}', b'{"offset": true}', b'{"offset": -1}'):
            with self.subTest(body=body[:60]), self.assertRaises(AppendUnknown):
                decode_offset(body)


class OddFieldTest(unittest.TestCase):
    """Reports of targets, records of the operator and settings."""

    def test_odd_reports(self) -> None:
        """Guards against a report whose numbers or names fail when they are used."""
        path = "/api/Instances.Heartbeat/i-1"
        good = decode_report("POST", path, json.dumps(REPORT).encode())
        self.assertIsNotNone(good)
        for name, value in ODD_REPORTS:
            fields = json.loads(json.dumps(REPORT))
            part = next(
                (p for p in (fields["info"], fields["status"], fields) if name in p), fields
            )
            part[name] = value
            with self.subTest(name=name, value=str(value)[:20]):
                with self.assertRaises(ReportInvalid):
                    decode_report("POST", path, json.dumps(fields).encode())
        for target_id in ("\u20ac", "i" * 1000, ""):
            with self.subTest(target_id=target_id[:5]), self.assertRaises(ReportInvalid):
                decode_report("POST", path[:-3] + target_id, json.dumps(REPORT).encode())
        with self.assertRaises(ReportInvalid):
            decode_report("POST", path, NESTED)

    def test_odd_configurations(self) -> None:
        """Guards against a configuration that is applied in part, or that ends the core."""
        decoder = ConfigDecoder()
        config = decoder.decode(KeyedRecord("config", config_value(), 1))
        assert config is not None
        self.assertEqual(config.version, 3)
        for name, value in ODD_ROUTES:
            with self.subTest(name=name, value=str(value)[:20]):
                record = KeyedRecord("config", config_value(**{name: value}), 1)
                self.assertIsNone(decoder.decode(record))
        for body in (NESTED, b'{"version": 1e999}', b'{"version": -1}', b"[]"):
            self.assertIsNone(decoder.decode(KeyedRecord("config", body, 1)))

    def test_odd_orders(self) -> None:
        """Guards against an order whose time is not a time."""
        for duration in ("infs", "nans", "-1s", "1e400s"):
            fields = {"service": "s", "target_version": "v", "duration": duration}
            record = KeyedRecord("rollout/s", json.dumps(fields).encode(), 1)
            self.assertIsNone(decode_order(record), duration)

    def test_odd_settings(self) -> None:
        """Guards against settings that end the process in place of an error message."""
        for content in (b"[local]\nx = inf", b"\xff", b"a = " + b"[" * 5000 + b"]" * 5000):
            with self.subTest(content=content[:20]), self.assertRaises(SettingsError):
                parse_settings(content, source="test")
