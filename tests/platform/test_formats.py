"""Decoding of the platform's messages and settings, valid and invalid."""

from __future__ import annotations

import json
import unittest
from typing import Any

from citronrack.calls.notice import TargetNotice
from citronrack.errors import SettingsError
from citronrack.hosted.control import ReportInvalid
from citronrack.hosted.readers import CONFIG_APPLY_S
from citronrack.hosted.rollout_record import Phase, RolloutRecord
from citronrack.hosted.store import KeyedRecord
from citronrack.hosted.target import TargetLeave, TargetReport
from citronrack.platform.answers import decode_notice
from citronrack.platform.operator import ConfigDecoder, decode_order, status_write
from citronrack.platform.reports import decode_report
from citronrack.platform.settings import parse_settings

REPORT: dict[str, Any] = {
    "address": "10.0.0.9:80",
    "born": 1_700_000_000_000,
    "info": {"service": "s", "version": "v1", "zone": "z", "capacity": 6},
    "status": {"state": "ready", "sequence": 4, "cold_remaining": "1.5s"},
}

SETTINGS = """
[local]
node_id = "n1"
ip = "10.0.0.1"
zone = "z"
app_address = "10.0.0.1:80"
service = "s"
[local.limits]
link_mbps = 14.5
[network]
internal_port_range = [7000, 7015]
[network.listen_addrs]
inbound = "10.0.0.1:81"
outbound = "10.0.0.1:82"
ready = "10.0.0.1:83"
control = "10.0.0.1:84"
[platform]
heartbeat = "1500ms"
[platform.platform]
address = "10.0.9.1:85"
[constraints.parameters]
grace = "6s"
retry_budget_ratio = 0.2
retry_slack = 60
"""


class ReportsTest(unittest.TestCase):
    """Status reports and leave notices of targets."""

    def decode(self, body: Any) -> TargetReport | TargetLeave | None:
        """Decode a report."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return decode_report("POST", "/api/Instances.Heartbeat/i-1", data)

    def test_report(self) -> None:
        """Guards against reading a field from the wrong place."""
        expected = TargetReport(
            "i-1", "s", "v1", "10.0.0.9:80", 6, False, 4, 1_700_000_000_000, 1.5
        )
        self.assertEqual(self.decode(REPORT), expected)

    def test_damaged_reports(self) -> None:
        """Guards against accepting invalid reports."""
        damaged: list[Any] = [
            b"\xff",
            b"[]",
            {},
            {**REPORT, "born": "soon"},
            {**REPORT, "born": 1.5},
        ]
        for part, name, value in (
            ("info", "capacity", "6"),
            ("info", "capacity", 0),
            ("info", "service", None),
            ("status", "state", "gone"),
            ("status", "sequence", True),
            ("status", "cold_remaining", "soon"),
        ):
            damaged.append({**REPORT, part: {**REPORT[part], name: value}})
        for body in damaged:
            with self.subTest(body), self.assertRaises(ReportInvalid):
                self.decode(body)

    def test_leave_and_other_calls(self) -> None:
        """Guards against missing a leave notice, and against treating other requests as one."""
        path = "/api/Instances.Deregister/i-1"
        self.assertEqual(decode_report("POST", path, b""), TargetLeave("i-1", None))
        self.assertEqual(decode_report("POST", path, b'{"born": 5}'), TargetLeave("i-1", 5))
        self.assertIsNone(decode_report("GET", path, b""))
        self.assertIsNone(decode_report("POST", "/other", b""))


class OperatorTest(unittest.TestCase):
    """Records that the operator writes and reads."""

    def config(self, **fields: Any) -> KeyedRecord:
        """Return the default configuration with some fields replaced."""
        columns = ["name", "host", "prefix", "kind", "timeout", "service", "weighted_clusters"]
        parts = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
        value = {
            "version": 7,
            "routes": {
                "columns": columns,
                "rows": [
                    ["a", "Shop.example", "/a/", "idempotent", "1200ms", "s", None],
                    ["b", "Shop.example", "/b/", "upload", None, None, parts],
                ],
            },
            "services": {"columns": ["name"], "rows": [["s"], ["t"]]},
            **fields,
        }
        return KeyedRecord("config", json.dumps(value).encode(), 3)

    def test_configuration(self) -> None:
        """Guards against retries of non-idempotent calls and against a lost traffic split."""
        config = ConfigDecoder().decode(self.config())
        assert config is not None
        first, second = config.routes["a"], config.routes["b"]
        self.assertEqual((config.version, first.timeout_ms, first.idempotent), (7, 1200, True))
        self.assertEqual((first.host, first.split), ("shop.example", ()))
        self.assertEqual((second.idempotent, second.service), (False, "s"))
        self.assertEqual([(p.service, p.weight) for p in second.split], [("s", 90), ("t", 10)])

    def test_next_configuration(self) -> None:
        """Guards against keeping routes of the previous version that were changed or removed."""
        decoder = ConfigDecoder()
        first = decoder.decode(self.config())
        changed = json.loads(self.config().value or b"")
        changed["version"] = 8
        changed["routes"]["rows"][0][4] = "900ms"
        changed["routes"]["rows"][1] = ["c", "Shop.example", "/c/", "idempotent", "1s", "t", None]
        second = decoder.decode(KeyedRecord("config", json.dumps(changed).encode(), 4))
        assert first is not None and second is not None
        self.assertEqual(sorted(second.routes), ["a", "c"])
        self.assertEqual((first.routes["a"].timeout_ms, second.routes["a"].timeout_ms), (1200, 900))

    def test_unreadable_records(self) -> None:
        """Guards against an invalid record that terminates the node or changes its routes."""
        damaged = [
            self.config(version="7"),
            self.config(routes={"columns": ["name"], "rows": [[]]}),
            self.config(routes={"columns": [["name"]], "rows": [["a"]]}),
            self.config(routes={"columns": ["name"], "rows": [3]}),
            self.config(services=None),
            KeyedRecord("config", b"{", 1),
            KeyedRecord("config", None, 1),
            KeyedRecord("other", b"{}", 1),
        ]
        for record in damaged:
            with self.subTest(record):
                self.assertIsNone(ConfigDecoder().decode(record))

    def test_cold_targets(self) -> None:
        """Guards against a rate of cold targets that is lost, or odd and taken."""
        columns = ["name", "cold_start", "cold_per_s"]
        for row, stated in ((["s", "4s", 12.5], (4.0, 12.5)), (["s", None, None], (0.0, 0.0))):
            table = {"columns": columns, "rows": [row, ["t", "1s", 1]]}
            config = ConfigDecoder().decode(self.config(services=table))
            assert config is not None
            service = config.services["s"]
            self.assertEqual((service.cold_start_s, service.cold_per_s), stated)
        for odd in (["s", 4, 1], ["s", "4s", "1"], ["s", "4s", -1], ["s", "4s", True]):
            table = {"columns": columns, "rows": [odd, ["t", "1s", 1]]}
            self.assertIsNone(ConfigDecoder().decode(self.config(services=table)), odd)

    def test_rollout(self) -> None:
        """Guards against a lost order and against a status that the operator cannot read."""
        value = json.dumps({"service": "s", "target_version": "v2", "duration": "12s"}).encode()
        order = decode_order(KeyedRecord("rollout/s", value, 9))
        assert order is not None
        self.assertEqual((order.order_id, order.duration_s), (9, 12.0))
        self.assertIsNone(decode_order(KeyedRecord("rollout/s", b"[]", 9)))
        write = status_write("s")
        states = {}
        for phase in Phase:
            stored = RolloutRecord(9, "s", "v2", phase, 0.2, 1, 0, "n", 1).encode()
            status = json.loads(write.derive(stored) or b"")
            self.assertEqual((status["service"], status["target_version"]), ("s", "v2"))
            states[phase.value] = status["state"]
        self.assertEqual(
            states,
            {"running": "in_progress", "completed": "completed", "rolled-back": "rolled_back"},
        )
        self.assertEqual([write.derive(None), write.derive(b"?")], [None, None])


class SettingsTest(unittest.TestCase):
    """The settings file."""

    def test_seeds(self) -> None:
        """Guards against asking the reports' port of another node, or this node itself."""
        text = SETTINGS.replace(
            "[network]\n", '[network]\nseeds = ["10.0.0.1:84", "10.0.0.2:84", "10.0.0.3:84"]\n'
        )
        settings = parse_settings(text.encode(), source="test")
        self.assertEqual(settings.seeds, ("10.0.0.2:7000", "10.0.0.3:7000"))
        self.assertEqual(parse_settings(SETTINGS.encode(), source="test").seeds, ())
        with self.assertRaises(SettingsError):
            parse_settings(text.replace("10.0.0.2:84", "").encode(), source="test")

    def test_settings(self) -> None:
        """Guards against listening on the wrong addresses."""
        settings = parse_settings(SETTINGS.encode(), source="test")
        addresses = settings.addresses
        self.assertEqual((addresses.calls, addresses.deliveries), ("10.0.0.1:82", "10.0.0.1:81"))
        self.assertEqual((addresses.peers, addresses.store), ("10.0.0.1:7000", "10.0.9.1:85"))
        self.assertEqual((settings.bounds.grace_s, settings.bounds.report_interval_s), (6.0, 1.5))
        self.assertEqual(settings.link_mbps, 14)

    def test_time_of_changes(self) -> None:
        """Guards against ignoring the time that the platform's contract states for changes."""
        stated = SETTINGS + 'config_apply = "2500ms"\n'
        for text, expected_s in ((SETTINGS, CONFIG_APPLY_S), (stated, 2.5)):
            settings = parse_settings(text.encode(), source="node.toml")
            self.assertEqual(settings.bounds.config_apply_s, expected_s)

    def test_bounds_of_cold_targets_and_evacuations(self) -> None:
        """Guards against changes at platforms that state no such bounds, and bounds not kept."""
        stated = SETTINGS + 'cold_overshoot = 1.2\nevacuation = "1500ms"\n'
        for text, expected in ((SETTINGS, (CONFIG_APPLY_S, 0.25)), (stated, (1.5, 0.1))):
            bounds = parse_settings(text.encode(), source="test").bounds
            self.assertEqual((bounds.operator_apply_s, round(bounds.cold_burst_s, 3)), expected)

    def test_time_of_withdrawn_keys(self) -> None:
        """Guards against a node that accepts keys for longer than the platform allows."""
        stated = 'revoke = "3s"\nrevoke_fail_closed = true\n'
        for text, expected_s in (
            ("", None),
            (stated, 3.0),
            (stated.replace("true", "false"), None),
        ):
            settings = parse_settings((SETTINGS + text).encode(), source="node.toml")
            self.assertEqual(settings.bounds.unconfirmed_s, expected_s)
        for text in ("revoke_fail_closed = 1\n", "revoke = 3\n"):
            with self.assertRaises(SettingsError):
                parse_settings((SETTINGS + text).encode(), source="node.toml")

    def test_damaged_settings(self) -> None:
        """Guards against a node that starts with incomplete or invalid settings."""
        for old, new in (
            ('zone = "z"', ""),
            ('grace = "6s"', 'grace = "6 hours"'),
            ("[7000, 7015]", "[]"),
            ("14.5", '"fast"'),
            ("14.5", "-1"),
            ("10.0.9.1:85", "store:85"),
            ("[local]", "[local"),
        ):
            with self.subTest(new), self.assertRaises(SettingsError):
                parse_settings(SETTINGS.replace(old, new).encode(), source="test")


class AnswerHeaderTest(unittest.TestCase):
    """What targets state in the heads of their answers."""

    def test_limits(self) -> None:
        """Guards against a limit that is read from bytes that are no number of calls."""
        valid = {b"10.4": 10.4, b"0": 0.0, b" 7 ": 7.0, b"9" * 32: 2.0**53, b"0.0001": 0.0001}
        for value, limit in valid.items():
            notice = decode_notice({b"server-limit": value})
            self.assertEqual((notice.limit_per_s, notice.limit_invalid), (limit, False), value)
        odd = (b"", b"-1", b"nan", b"inf", b"1e400", b"1e3", b"1_0", b"0x10", b"1,5", b"9" * 400)
        for value in (*odd, b"1.", b".5", b"\xff", "\u0663".encode()):
            notice = decode_notice({b"server-limit": value})
            self.assertEqual((notice.limit_per_s, notice.limit_invalid), (None, True), value)
        self.assertEqual(decode_notice({}), TargetNotice())

    def test_leaving(self) -> None:
        """Guards against a target that is taken for leaving by another value."""
        for value, leaving in ((b"1", True), (b" 1", True), (b"0", False), (b"", False)):
            self.assertIs(decode_notice({b"server-leaving": value}).leaving, leaving)
