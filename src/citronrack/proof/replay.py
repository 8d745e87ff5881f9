"""Replays the inputs of a trace and compares the decisions."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from attrs import define, frozen

from ..calls import ViewHolder
from ..errors import CitronrackError, MessageRejected
from ..membership import Member
from ..plain import PlainFormatError, from_plain
from ..transport.messages import message_codec
from ..transport.send import Send
from ._mail_codec import decode_mail
from .checker import CheckResult
from .checkers import CHECKERS
from .core_factory import CoreOptions, make_core
from .decisions import DecisionWatcher
from .observations import NodeStarted, ObservationDispatcher
from .trace import (
    LINE_PREFIX_BYTES,
    LINE_SUFFIX,
    TRACE_FORMAT,
    Decisions,
    TraceWriter,
    line_prefix,
    seeded_random,
)

MAX_LINE_BYTES = 64 * 1024 * 1024


class TraceError(CitronrackError):
    """A trace cannot be read; the message states file, line and byte offset."""


@frozen
class TraceLine:
    """A line of a trace whose checksum matched.

    Attributes:
        number: Line number, from 1.
        content: Decoded content of the line.
    """

    number: int
    content: dict[str, Any]


@frozen
class Difference:
    """The first decision that differs from the recorded one.

    Attributes:
        line: Line number in the trace.
        step: Number of the input.
        name: Field of `Decisions` that differs.
        expected: Recorded value.
        found: Value in this run.
    """

    line: int
    step: int
    name: str
    expected: str
    found: str


@frozen
class ReplayResult:
    """Result of a replay.

    Attributes:
        node: Name of the recorded node.
        steps: Number of replayed inputs.
        end: Reason why the recording ended.
        difference: First difference, None when all decisions are equal.
        checks: Results of the invariant checkers.
    """

    node: str
    steps: int
    end: str
    difference: Difference | None
    checks: tuple[CheckResult, ...]


@define
class _ReplayClock:
    """Clock that returns the times and the load recorded in the trace."""

    now: float = 0.0
    wall: int = 0
    load: int = 0

    def monotonic(self) -> float:
        return self.now

    def wall_ms(self) -> int:
        return self.wall

    def own_load(self) -> int:
        return self.load


def read_trace(path: str | Path) -> Iterator[TraceLine]:
    """Yield the verified lines of a trace; the last one is the end line.

    Raises:
        TraceError: At the first damaged line, or when the end line is missing.
    """
    checksum, offset, number, ended = 0, 0, 0, False
    try:
        with open(path, "rb") as file:
            while data := file.readline(MAX_LINE_BYTES):
                number += 1
                location = f"{path}:{number}: byte {offset}"
                if ended:
                    raise TraceError(f"{location}: the trace continues after its end line")
                content, checksum = _check_line(data, checksum, location)
                ended = "end" in content
                yield TraceLine(number, content)
                offset += len(data)
    except OSError as error:
        raise TraceError(f"{path}: cannot be read: {error.strerror}") from error
    if not ended:
        raise TraceError(f"{path}:{number + 1}: byte {offset}: the trace has no end line")


def _check_line(data: bytes, checksum: int, location: str) -> tuple[dict[str, Any], int]:
    if not data.endswith(b"\n"):
        raise TraceError(f"{location}: the line is truncated")
    # The checksum covers the bytes as written, because a float with a changed last digit may be
    # parsed to the same value.
    head, text = data[:LINE_PREFIX_BYTES], data[LINE_PREFIX_BYTES : -len(LINE_SUFFIX)]
    checksum = zlib.crc32(text, checksum)
    if head != line_prefix(checksum) or not data.endswith(LINE_SUFFIX):
        raise TraceError(f"{location}: the line is damaged or its checksum does not match")
    try:
        content = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise TraceError(f"{location}: the line is not valid JSON") from error
    if not isinstance(content, dict):
        raise TraceError(f"{location}: the line is not a JSON object")
    return content, checksum


class _TraceRunner:
    """Runs the inputs of a trace on a new core."""

    def __init__(self, line: TraceLine, path: str | Path, writer: TraceWriter | None) -> None:
        head = line.content
        if head.get("trace") != TRACE_FORMAT:
            raise TraceError(f"{path}:{line.number}: not a trace of format {TRACE_FORMAT}")
        try:
            self.own = from_plain(head.get("own"), Member, name="own")
            options = from_plain(head.get("options"), CoreOptions, name="options")
            seed = int(head["seed"])
            self._clock = _ReplayClock(head["monotonic"], head["wall_ms"], head["load"])
        except (PlainFormatError, KeyError, TypeError, ValueError) as error:
            raise TraceError(f"{path}:{line.number}: invalid first line: {error}") from error
        self._views = ViewHolder()
        self._core = make_core(
            own=self.own,
            options=options,
            clock=self._clock,
            random=seeded_random(seed),
            views=self._views,
            append=lambda body: None,  # The results of appends are inputs in the trace.
            append_snapshot=lambda data: None,
            own_load=self._clock.own_load,
        )
        self._emit = ObservationDispatcher()
        self.checkers = {name: CHECKERS.get(name)() for name in CHECKERS}
        for checker in self.checkers.values():
            checker.subscribe_to(self._emit)
        self._watcher = DecisionWatcher(
            self._core, self._views, node=self.own.name, boot=1, emit=self._emit
        )
        self._start: float | None = None
        self._writer = writer
        if writer is not None:
            writer.begin(own=self.own, options=options, seed=seed, clock=self._clock)

    def run(self, content: dict[str, Any]) -> Decisions:
        """Run one input and return the resulting decisions."""
        self._clock.now, self._clock.wall = content["monotonic"], content["wall_ms"]
        self._clock.load = content["load"]
        if self._start is None:
            self._start = self._clock.now
            zone = self.own.availability_zone
            self._emit(NodeStarted(0.0, self.own.name, zone, 1))
        entry, effects = self._feed(content)
        decisions = Decisions.of(self._core, self._views, effects)
        self._watcher.emit_changes(self._clock.now - self._start)
        if self._writer is not None:
            self._writer.step(self._clock, entry, decisions)
        return decisions

    def _feed(self, content: dict[str, Any]) -> tuple[dict[str, Any], list[Send]]:
        if "tick" in content:
            return {"tick": True}, self._core.on_tick()
        if "message" in content:
            message = message_codec.decode(bytes.fromhex(content["message"]))
            entry = {"from": content["from"], "message": content["message"]}
            return entry, self._core.on_message(content["from"], message)
        mail = decode_mail(content["mail"])
        return {"mail": content["mail"], "kind": content["kind"]}, self._core.handle(mail)


@define
class _ExpectedDecisions:
    """The recorded decisions, reconstructed from the recorded changes."""

    values: dict[str, Any]

    def compare(self, line: TraceLine, found: Decisions) -> Difference | None:
        """Return the first field of the decisions that differs after the input in ``line``."""
        self.values.update(line.content.get("decided", {}))
        for name, expected in self.values.items():
            value = getattr(found, name, None)
            if value != expected:
                step = line.content["step"]
                return Difference(line.number, step, name, str(expected), str(value))
        return None


def replay(
    path: str | Path, *, expect: str | Path | None = None, write: str | Path | None = None
) -> ReplayResult:
    """Replay the inputs of a trace.

    Args:
        path: Path of the trace.
        expect: Another trace of the same inputs, whose decisions are the expected ones.
        write: File to write a trace with the decisions of this run to.

    Raises:
        TraceError: When a trace is damaged or truncated, or an input cannot be replayed.
    """
    lines = read_trace(path)
    expected_lines = read_trace(expect) if expect is not None else None
    first = next(lines)
    if expected_lines is not None:
        next(expected_lines)
    writer = TraceWriter(write) if write is not None else None
    runner = _TraceRunner(first, path, writer)
    expected = _ExpectedDecisions({})
    steps, end, difference = 0, "", None
    try:
        for line in lines:
            other = _expected_line(line, expected_lines, expect)
            if "end" in line.content:
                end = str(line.content["end"])
                continue  # Reads on, so that lines after the end line are detected.
            found = _run_step(runner, line, path)
            steps += 1
            difference = difference or expected.compare(other, found)
            if difference is not None and writer is None:
                break
    finally:
        if writer is not None:
            writer.close(end or "broken off")
    for checker in runner.checkers.values():
        checker.finish(0.0)
    names = sorted(runner.checkers, key=lambda name: int(name[1:]))
    checks = tuple(runner.checkers[name].result(name) for name in names)
    return ReplayResult(runner.own.name, steps, end, difference, checks)


def _expected_line(
    line: TraceLine, expected: Iterator[TraceLine] | None, path: str | Path | None
) -> TraceLine:
    if expected is None:
        return line
    other = next(expected, None)
    if other is None or other.content.get("step") != line.content.get("step"):
        raise TraceError(f"{path}:{line.number}: not a trace of the same inputs")
    return other


def _run_step(runner: _TraceRunner, line: TraceLine, path: str | Path) -> Decisions:
    try:
        return runner.run(line.content)
    except (KeyError, TypeError, MessageRejected) as error:
        text = f"{path}:{line.number}: the input cannot be replayed: {error!r}"
        raise TraceError(text) from error
