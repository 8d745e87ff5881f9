"""Invalid settings are rejected with one line per fault."""

from __future__ import annotations

import copy
import tempfile
import unittest
from pathlib import Path
from typing import Any

from citronrack.errors import SettingsError
from citronrack.settings import load_settings
from citronrack.settings.load import parse_settings

VALID: dict[str, Any] = {
    "node": {
        "name": "lowlands-a-1",
        "availability_zone": "lowlands-a",
        "peer_address": "127.0.0.1:7101",
        "call_address": "127.0.0.1:7201",
        "deliver_address": "127.0.0.1:7301",
    },
    "target": {
        "address": "127.0.0.1:7501",
        "service": "catalogue",
        "service_version": "1.0.0",
    },
    "mesh": {"mesh_id": "spoorhout", "key": "00" * 16},
    "log_service": {"url": "http://127.0.0.1:7000"},
    "api": {"address": "127.0.0.1:7401", "token": "a-long-operator-token"},
}


class ParseSettingsTest(unittest.TestCase):
    """Guards against a node that starts with invalid settings."""

    def faults(self, path: str, value: Any) -> tuple[str, ...]:
        """Return the fault lines with one value replaced, or removed if ``value`` is None."""
        content = copy.deepcopy(VALID)
        *sections, key = path.split(".")
        part = content
        for section in sections:
            part = part[section]
        if value is None:
            del part[key]
        else:
            part[key] = value
        with self.assertRaises(SettingsError) as caught:
            parse_settings(content, source="s.yaml")
        return caught.exception.faults

    def test_names_file_key_and_expectation(self) -> None:
        """Fails if a line does not name the file, the key and the expected value."""
        cases = [
            ("node.name", None, "s.yaml: node.name: missing"),
            ("node.extra", 1, "s.yaml: node.extra: unknown key"),
            ("node.call_address", "localhost:1", "s.yaml: node.call_address: expected IP:PORT"),
            ("node.call_address", "127.0.0.1:99999", "s.yaml: node.call_address: expected a port"),
            ("target.slots", "6", "s.yaml: target.slots: expected a whole number"),
            ("target.slots", 0, "s.yaml: target.slots: expected 1 to 1000"),
            ("mesh.key", "zz", "s.yaml: mesh.key: expected hexadecimal digits"),
            ("mesh.seeds", ["x"], "s.yaml: mesh.seeds: expected IP:PORT"),
            ("log_service.url", "http://log:1", "s.yaml: log_service.url: expected an IP number"),
            ("api.token", "short", "s.yaml: api.token: expected at least 16 characters"),
        ]
        for path, value, expected in cases:
            with self.subTest(path, value=value):
                lines = self.faults(path, value)
                self.assertEqual(len(lines), 1)
                self.assertTrue(lines[0].startswith(expected), lines[0])

    def test_reports_all_faults_at_once(self) -> None:
        """Fails if only the first fault is reported."""
        content = copy.deepcopy(VALID)
        content["node"]["call_address"] = "x"
        content["api"]["token"] = "short"
        with self.assertRaises(SettingsError) as caught:
            parse_settings(content, source="s.yaml")
        self.assertEqual(len(caught.exception.faults), 2)

    def test_file_faults(self) -> None:
        """Fails if a missing or malformed file raises another error than `SettingsError`."""
        with tempfile.TemporaryDirectory() as folder:
            broken = Path(folder) / "broken.yaml"
            broken.write_text("a: [", encoding="utf-8")
            for path in (broken, Path(folder) / "missing.yaml"):
                with self.assertRaises(SettingsError) as caught:
                    load_settings(path)
                self.assertIn(str(path), caught.exception.faults[0])
