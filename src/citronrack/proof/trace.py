"""Records the inputs and decisions of a node's core as JSON lines."""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, Protocol, cast

from attrs import frozen

from .. import __version__
from ..calls import ViewHolder
from ..clock import Clock
from ..membership import Member
from ..node.core import NodeCore
from ..plain import to_plain
from ..transport.messages import message_codec
from ..transport.send import Send
from ._mail_codec import encode_mail
from .core_factory import CoreOptions

TRACE_FORMAT = 1
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
END_LINE_RESERVE_BYTES = 256  # room for the end line


class SteppedClock:
    """Clock that is constant while the core handles one input, so that a replay can reproduce it.

    Args:
        clock: The real clock.
        own_load: Returns the number of calls in flight at the node's own target.
    """

    def __init__(self, clock: Clock, own_load: Callable[[], int]) -> None:
        self._clock = clock
        self._own_load = own_load
        self.step()

    def step(self) -> None:
        """Read the real clock and the load."""
        self._monotonic = self._clock.monotonic()
        self._wall_ms = self._clock.wall_ms()
        self._load = self._own_load()

    def monotonic(self) -> float:
        """Return the monotonic time in seconds at the last step."""
        return self._monotonic

    def wall_ms(self) -> int:
        """Return the wall time at the last step, in milliseconds since the Unix epoch."""
        return self._wall_ms

    def own_load(self) -> int:
        """Return the number of calls in flight at the last step."""
        return self._load


class StepTimes(Clock, Protocol):
    """The clocks and the load at the time of one input."""

    def own_load(self) -> int:
        """Return the number of calls in flight at the node's own target."""


@frozen
class Decisions:
    """Observable state of a core after one input.

    Attributes:
        version: Version in force.
        readiness: Value of `Readiness`.
        digest: Digest of the folded records.
        shares: Share of the new service version by route.
        sends: Number and digest of the sent messages.
    """

    version: int
    readiness: str
    digest: str
    shares: dict[str, float]
    sends: str

    @classmethod
    def of(cls, core: NodeCore, views: ViewHolder, sends: Iterable[Send]) -> Decisions:
        """Return the decisions of ``core`` after an input that caused ``sends``."""
        return cls(
            version=core.active.version,
            readiness=core.readiness.value,
            digest=f"{core.fold.state.digest:016x}",
            shares={name: share.share for name, share in views.current.shares.items()},
            sends=digest_sends(sends),
        )

    def changes(self, before: Decisions | None) -> dict[str, Any]:
        """Return the fields that differ from ``before``."""
        content = cast("dict[str, Any]", to_plain(self))
        if before is None:
            return content
        return {name: value for name, value in content.items() if value != getattr(before, name)}


def digest_sends(sends: Iterable[Send]) -> str:
    """Return the number and digest of messages and their receivers, empty for none."""
    digest = hashlib.blake2b(digest_size=8)
    count = 0
    for effect in sends:
        count += 1
        digest.update(effect.to.encode())
        digest.update(message_codec.encode(effect.message))
    return f"{count}:{digest.hexdigest()}" if count else ""


def line_prefix(checksum: int) -> bytes:
    """Return the part of a line before its content."""
    return b'{"crc":"%08x","line":' % checksum


LINE_PREFIX_BYTES = len(line_prefix(0))
LINE_SUFFIX = b"}\n"


def encode_content(content: Mapping[str, Any]) -> str:
    """Encode the content of a line in the canonical form that the checksum covers."""
    return json.dumps(content, separators=(",", ":"))


class TraceWriter:
    """Writes one trace file, and ends it with an end line when the size limit is reached.

    Each line has a checksum over itself and all previous lines, so that a replay detects damaged,
    missing and reordered lines.

    Args:
        path: File to write; an existing file is overwritten.
        limit_bytes: Maximum size of the file.
    """

    def __init__(self, path: str | Path, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115  (closed by `close`)
        self._remaining_bytes = limit_bytes
        self._checksum = 0
        self._steps = 0
        self._previous: Decisions | None = None

    @property
    def closed(self) -> bool:
        """Whether the trace has ended."""
        return self._file.closed

    def begin(self, *, own: Member, options: CoreOptions, seed: int, clock: StepTimes) -> None:
        """Write the first line, with everything that is needed to create the core.

        Args:
            own: Member entry of the node.
            options: Plain options.
            seed: Seed of the core's random numbers.
            clock: Times at which the core is created.
        """
        self._write(
            {
                "trace": TRACE_FORMAT,
                "program": __version__,
                "own": to_plain(own),
                "options": to_plain(options),
                "seed": seed,
                "monotonic": clock.monotonic(),
                "wall_ms": clock.wall_ms(),
                "load": clock.own_load(),
            }
        )

    def step(self, clock: StepTimes, entry: Mapping[str, Any], decisions: Decisions) -> None:
        """Write one input and the decisions that it changed."""
        if self.closed:
            return
        self._steps += 1
        content = {
            "step": self._steps,
            "monotonic": clock.monotonic(),
            "wall_ms": clock.wall_ms(),
            "load": clock.own_load(),
            **entry,
            "decided": decisions.changes(self._previous),
        }
        self._previous = decisions
        if len(encode_content(content)) + 2 * END_LINE_RESERVE_BYTES > self._remaining_bytes:
            self.close("limit")
        else:
            self._write(content)

    def close(self, reason: str = "stopped") -> None:
        """Write the end line and close the file."""
        if not self.closed:
            self._write({"end": reason, "steps": self._steps})
            self._file.close()

    def _write(self, content: Mapping[str, Any]) -> None:
        text = encode_content(content)
        self._checksum = zlib.crc32(text.encode(), self._checksum)
        line = line_prefix(self._checksum).decode() + text + LINE_SUFFIX.decode()
        self._remaining_bytes -= len(line.encode())
        self._file.write(line)


class TracingCore:
    """Wraps a core and records its inputs and decisions; other attributes are those of the core.

    Args:
        core: A core whose clock is ``clock`` and whose random numbers come from a ``Random(seed)``
            that is not shared.
        views: Routing view of the core.
        clock: Clock that is constant during each input.
        writer: Writer of the trace, whose first line has been written.
    """

    def __init__(
        self, core: NodeCore, *, views: ViewHolder, clock: SteppedClock, writer: TraceWriter
    ) -> None:
        self.__dict__.update(_core=core, _views=views, _clock=clock, _writer=writer)

    if TYPE_CHECKING:
        _core: NodeCore
        _views: ViewHolder
        _clock: SteppedClock
        _writer: TraceWriter

    def handle(self, mail: Any) -> list[Send]:
        """Handle and record a message from another task."""
        self._clock.step()
        effects = self._core.handle(mail)
        body = encode_mail(mail)
        if body is not None or effects:
            self._record({"mail": body, "kind": type(mail).__name__}, effects)
        return effects

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle and record a message from another node."""
        self._clock.step()
        effects = self._core.on_message(sender, message)
        self._record({"from": sender, "message": message_codec.encode(message).hex()}, effects)
        return effects

    def on_tick(self) -> list[Send]:
        """Handle and record a tick."""
        self._clock.step()
        effects = self._core.on_tick()
        self._record({"tick": True}, effects)
        return effects

    def _record(self, entry: Mapping[str, Any], effects: list[Send]) -> None:
        if not self._writer.closed:
            decisions = Decisions.of(self._core, self._views, effects)
            self._writer.step(self._clock, entry, decisions)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.__dict__["_core"], name)

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._core, name, value)


def trace_core(
    core: NodeCore, *, views: ViewHolder, clock: SteppedClock, writer: TraceWriter
) -> NodeCore:
    """Return ``core`` wrapped in a `TracingCore`, which is used in place of a `NodeCore`."""
    return cast("NodeCore", TracingCore(core, views=views, clock=clock, writer=writer))


def seeded_random(seed: int) -> Random:
    """Return the source of random numbers for a traced core."""
    return Random(seed)
