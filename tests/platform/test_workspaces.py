"""Workspaces in the operator's configuration."""

from __future__ import annotations

import json
import unittest
from typing import Any

from citronrack.calls import RoutingView
from citronrack.config import KeyDigester, KeyIndex
from citronrack.hosted.store import KeyedRecord
from citronrack.platform.operator import ConfigDecoder

KEYS = ("k-one", "k-two", "k-three")
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "service", "public"]
COLUMNS = ["name", "api_keys", "priority", "rate_per_s", "burst", "colour"]
ROWS: list[list[Any]] = [
    ["acme", ["k-one", "k-two"], 1, 480, 96.5, "blue"],
    ["quill", ["k-three"], None, None, None, None],
]


def config_record(rows: Any, *, version: int = 7) -> KeyedRecord:
    """Return a configuration with a public route, a route of downloads, and workspaces."""
    value = {
        "version": version,
        "routes": {
            "columns": ROUTE_COLUMNS,
            "rows": [
                ["a", "h", "/a/", "idempotent", "s", True],
                ["b", "h", "/b/", "download", "s", None],
            ],
        },
        "services": {"columns": ["name"], "rows": [["s"]]},
        "tenants": rows if isinstance(rows, dict) else {"columns": COLUMNS, "rows": rows},
    }
    return KeyedRecord("config", json.dumps(value).encode(), 3)


def changed(row: int, column: str, value: Any) -> list[list[Any]]:
    """Return the rows with one value replaced."""
    rows = [list(entry) for entry in ROWS]
    rows[row][COLUMNS.index(column)] = value
    return rows


class WorkspacesTest(unittest.TestCase):
    """The table of workspaces, valid and invalid."""

    def test_configuration(self) -> None:
        """Guards against a lost limit, priority or kind, and a key that finds another workspace."""
        digester = KeyDigester()
        config = ConfigDecoder(digester).decode(config_record(ROWS))
        assert config is not None
        acme, quill = config.workspaces["acme"], config.workspaces["quill"]
        self.assertEqual((acme.priority, acme.rate_per_s, acme.burst), (1, 480.0, 96.5))
        self.assertEqual((quill.priority, quill.rate_per_s, quill.burst), (None, 0.0, 0.0))
        first, second = config.routes["a"], config.routes["b"]
        self.assertEqual((first.public, first.large_answers), (True, False))
        self.assertEqual((second.public, second.large_answers), (False, True))
        self.assertIs(second.idempotent, True)
        index = KeyIndex(config.workspaces.values())
        found = [index.find(digester.digest(key.encode())) for key in (*KEYS, "k-four")]
        self.assertEqual(found, [acme, acme, quill, None])
        self.assertIsNone(index.find(KeyDigester().digest(b"k-one")))

    def test_invalid_rows(self) -> None:
        """Guards against a version that is applied in part, and a fault that shows a key."""
        numbers: list[Any] = ["480", True, -1, 1e400, float("nan"), 10**30, []]
        cases: list[tuple[Any, str, int]] = [
            *((changed(1, "rate_per_s", number), "tenants", 2) for number in numbers),
            *((changed(0, "burst", number), "tenants", 1) for number in numbers),
            *((changed(0, "priority", number), "tenants", 1) for number in (*numbers, 1.5)),
            *(
                (changed(1, "name", name), "tenants", 2)
                for name in ("", None, 5, "a\r\nb", " a", "\u20ac", "\ud800", "acme", "n" * 999)
            ),
            *(
                (changed(1, "api_keys", keys), "tenants", 2)
                for keys in ("k-three", [""], ["k three"], [3], ["k\n"], ["\ud800"], ["k-two"])
            ),
            ([ROWS[0], ["quill"]], "tenants", 2),
            ({"columns": COLUMNS}, "tenants", 0),
            ({"columns": [1], "rows": ROWS}, "tenants", 0),
        ]
        for rows, table, row in cases:
            with self.subTest(rows=rows):
                decoder = ConfigDecoder()
                record = config_record(rows)
                self.assertIsNone(decoder.decode(record))
                fault = decoder.fault(record)
                assert fault is not None
                self.assertEqual((fault.table, fault.row), (table, row))
                self.assertFalse([key for key in (*KEYS, "k three") if key in fault.reason])

    def test_invalid_routes(self) -> None:
        """Guards against a route that is lost or public by mistake."""
        valid = config_record(ROWS).value or b""
        for old, new, row in (
            (b'"download"', b'"streaming"', 2),
            (b'"download"', b"null", 2),
            (b'["b", "h"', b'["a", "h"', 2),
            (b"true", b'"yes"', 1),
            (b"true", b"1", 1),
        ):
            with self.subTest(new=new):
                fault = ConfigDecoder().fault(KeyedRecord("config", valid.replace(old, new), 3))
                assert fault is not None
                self.assertEqual((fault.table, fault.row), ("routes", row))

    def test_unchanged_rows_are_reused(self) -> None:
        """Guards against decoding all workspaces and routes for a change of one."""
        decoder = ConfigDecoder()
        first = decoder.decode(config_record(ROWS))
        second = decoder.decode(config_record(changed(1, "burst", 3), version=8))
        assert first is not None and second is not None
        self.assertIs(second.workspaces["acme"], first.workspaces["acme"])
        self.assertIs(second.routes["b"], first.routes["b"])
        self.assertEqual(second.workspaces["quill"].burst, 3.0)

    def test_no_dump_shows_a_key(self) -> None:
        """Guards against keys and digests in debug output of decoded objects."""
        digester = KeyDigester()
        decoder, record = ConfigDecoder(digester), config_record(ROWS)
        config = decoder.decode(record)
        assert config is not None
        index = KeyIndex(config.workspaces.values())
        dump = repr((RoutingView(config=config), record, index, digester, vars(decoder)))
        for key in KEYS:
            digest = digester.digest(key.encode())
            for secret in (key, repr(digest)[2:-1], digest.hex()):
                self.assertNotIn(secret, dump)
        self.assertIn("acme", dump)
