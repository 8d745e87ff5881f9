"""Loads scenario files; errors state file, line and key."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, TypeVar

import attrs
import yaml
from attrs import frozen

from ..errors import CitronrackError
from ..plain import PlainFormatError, from_plain
from ..registry import Registry
from . import events as _events  # noqa: F401  (fills the registry)
from . import expectations as _expectations  # noqa: F401  (fills the registry)
from . import operator_events as _operator_events  # noqa: F401  (fills the registry)
from .deployments import DEPLOYMENTS
from .events import StartTargets
from .language import EVENT_KINDS, EXPECTATION_KINDS, REFERENCE, Expectation, TimedEvent
from .network import PLATFORM
from .parts import PARTS
from .schema import ScenarioHead, TargetSpec

MAX_SCENARIO_BYTES = 1024 * 1024
T = TypeVar("T")
_PATH_PART = re.compile(r"([^.\[\]]+)|\[(\d+)\]")


class ScenarioError(CitronrackError):
    """A scenario file is invalid or cannot be read.

    Args:
        faults: One line per error, with file, line, key and expected value.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = tuple(faults)


@frozen
class Scenario:
    """A validated scenario.

    Attributes:
        path: Path of the scenario file.
        head: Fixed part of the file.
        events: Events of the run.
        expect: Expectations of the run.
        lines: Line number of each expectation.
    """

    path: str
    head: ScenarioHead
    events: tuple[TimedEvent, ...]
    expect: tuple[Expectation, ...]
    lines: tuple[int, ...]

    @property
    def name(self) -> str:
        """Short name of the scenario."""
        return self.head.name


class _LineIndex:
    """Maps key paths to line numbers in a composed YAML tree."""

    def __init__(self, root: yaml.Node | None) -> None:
        self._root = root

    def line_of(self, path: str) -> int:
        """Return the line, from 1, of the longest existing prefix of ``path``."""
        node = self._root
        line = 1 if node is None else node.start_mark.line + 1
        for match in _PATH_PART.finditer(path):
            step = self._child(node, match.group(1), match.group(2))
            if step is None:
                break
            node, line = step
        return line

    @staticmethod
    def _child(node: yaml.Node | None, key: str, index: str) -> tuple[yaml.Node, int] | None:
        if isinstance(node, yaml.MappingNode) and key:
            for name, value in node.value:
                if getattr(name, "value", None) == key:
                    return value, name.start_mark.line + 1
        if isinstance(node, yaml.SequenceNode) and index and int(index) < len(node.value):
            entry = node.value[int(index)]
            return entry, entry.start_mark.line + 1
        return None


def load_scenario(path: str | Path) -> Scenario:
    """Load and validate a scenario from a YAML file.

    Raises:
        ScenarioError: When the file is invalid, with one line per error.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ScenarioError([f"{path}: cannot be read: {error.strerror}"]) from error
    return parse_scenario(data, source=str(path))


def parse_scenario(data: bytes, *, source: str) -> Scenario:
    """Parse and validate the scenario in ``data``; see `load_scenario`."""
    if len(data) > MAX_SCENARIO_BYTES:
        raise ScenarioError([f"{source}:1: larger than {MAX_SCENARIO_BYTES} bytes"])
    try:
        text = data.decode("utf-8")
        lines = _LineIndex(yaml.compose(text, Loader=yaml.SafeLoader))
        content = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark is not None else 1
        one_line = " ".join(str(error).split())
        raise ScenarioError([f"{source}:{line}: is not valid YAML: {one_line}"]) from error
    return _ScenarioReader(source, lines).read(content)


class _ScenarioReader:
    """Builds one scenario and collects its errors."""

    def __init__(self, source: str, lines: _LineIndex) -> None:
        self._source = source
        self._lines = lines
        self._faults: list[str] = []

    def read(self, content: Any) -> Scenario:
        try:
            head = from_plain(content, ScenarioHead, name="scenario")
        except PlainFormatError as error:
            for line in error.lines:
                path, _, text = line.partition(": ")
                self._add_fault(path, text)
            raise ScenarioError(self._faults) from error
        events = self._entries(head.events, "events", "do", EVENT_KINDS)
        expect = self._entries(head.expect, "expect", "that", EXPECTATION_KINDS)
        self._check_names(head, events, expect)
        if self._faults:
            raise ScenarioError(self._faults)
        return Scenario(
            path=self._source,
            head=head,
            events=tuple(event for _, event in events),
            expect=tuple(entry for _, entry in expect),
            lines=tuple(self._lines.line_of(f"expect[{index}]") for index, _ in expect),
        )

    def _add_fault(self, path: str, text: str) -> None:
        self._faults.append(f"{self._source}:{self._lines.line_of(path)}: {path}: {text}")

    def _entries(
        self, entries: tuple[dict[str, Any], ...], section: str, key: str, kinds: Registry[type[T]]
    ) -> list[tuple[int, T]]:
        found = []
        for index, entry in enumerate(entries):
            path = f"{section}[{index}]"
            fields = dict(entry)
            name = fields.pop(key, None)
            if not isinstance(name, str):
                self._add_fault(path, f"{key}: missing or not a string")
                continue
            try:
                found.append((index, from_plain(fields, kinds.get(name), name=name)))
            except LookupError as error:
                self._add_fault(f"{path}.{key}", str(error.args[0]))
            except PlainFormatError as error:
                for line in error.lines:
                    self._add_fault(*self._entry_fault(path, line))
        return found

    @staticmethod
    def _entry_fault(path: str, line: str) -> tuple[str, str]:
        key, _, text = line.partition(": ")
        return f"{path}.{key}", text

    def _check_names(
        self,
        head: ScenarioHead,
        events: list[tuple[int, TimedEvent]],
        expect: list[tuple[int, Expectation]],
    ) -> None:
        if head.world.deployment not in DEPLOYMENTS:
            known = ", ".join(DEPLOYMENTS)
            self._add_fault("world.deployment", f"expected one of {known}")
            return
        for index, part in enumerate(head.needs):
            if part not in PARTS:
                self._add_fault(f"needs[{index}]", f"expected one of {', '.join(PARTS)}")
        names = _known_names(head, [event for _, event in events])
        for index, target in enumerate(head.world.targets):
            if target.service not in names["service"]:
                self._add_unknown_name(
                    f"world.targets[{index}].service", "service", target.service, names
                )
        for section, entries in (("events", events), ("expect", expect)):
            for index, entry in entries:
                self._check_entry(f"{section}[{index}]", entry, names)
                if entry.at > head.seconds:
                    self._add_fault(
                        f"{section}[{index}].at", f"is after the end at {head.seconds} s"
                    )

    def _check_entry(self, path: str, entry: Any, names: dict[str, list[str]]) -> None:
        for attribute in attrs.fields(type(entry)):
            kind = attribute.metadata.get(REFERENCE)
            value = getattr(entry, attribute.name)
            if kind in names and value != attribute.default and value not in names[kind]:
                self._add_unknown_name(f"{path}.{attribute.name}", kind, value, names)

    def _add_unknown_name(
        self, path: str, kind: str, value: str, names: dict[str, list[str]]
    ) -> None:
        self._add_fault(path, f"unknown {kind} {value!r}; known: {', '.join(names[kind])}")


def _known_names(head: ScenarioHead, events: list[TimedEvent]) -> dict[str, list[str]]:
    """Return the names that a scenario may refer to, by kind of reference."""
    deployment = DEPLOYMENTS.get(head.world.deployment)
    workers = {service.name: service.workers for service in deployment.services}
    extra: list[TargetSpec | StartTargets] = list(head.world.targets)
    extra.extend(event for event in events if isinstance(event, StartTargets))
    for target in extra:
        if target.service in workers:
            workers[target.service] += target.count
    zones = list(deployment.zones)
    labels = ["left", "right"]
    for event in events:
        for attribute in attrs.fields(type(event)):
            if attribute.metadata.get(REFERENCE) == "new-plan":
                labels.append(getattr(event, attribute.name))
    return {
        "node": [
            f"{name}-{index}" for name, count in workers.items() for index in range(1, count + 1)
        ],
        "zone": zones,
        "side": [*zones, PLATFORM],
        "route": [load.name for service in deployment.services for load in service.routes],
        "service": list(workers),
        "plan": list(dict.fromkeys(labels)),
    }
