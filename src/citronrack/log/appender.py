"""Appends records so that each takes effect at most once, with an honest result."""

from __future__ import annotations

import time
from collections.abc import Callable, Generator
from random import Random
from typing import Any

from attrs import frozen

from ..backoff import Backoff
from ..clock import Clock
from ..codec import MAX_MESSAGE_BYTES
from ..errors import AppendRefused, AppendUnknown
from .budget import AppendBudget
from .client import LogClient
from .records import RECORDS_STREAM, SNAPSHOTS_STREAM, Envelope, encode_record

APPEND_LIMIT_S = 7.0  # below the 8 s for which the API waits
ATTEMPT_LIMIT_S = 3.0  # longest answer time of the client; leaves room for a second attempt


@frozen
class Appended:
    """A record stands in the log.

    Attributes:
        offset: Its offset; the fold decides whether it took effect.
    """

    offset: int


AppendSteps = Generator[float, bool | None, Appended]


class Appender:
    """Writes the records of one process, one at a time.

    All attempts of one append carry the same writer and sequence number, so the fold takes the
    first that lands and drops the rest. After an unknown result the next append uses a greater
    number. Once that newer record is folded, the fold drops the older one whenever it lands.

    Args:
        client: Access to the log; its answer time must not exceed ``attempt_limit_s``.
        clock: Source of time.
        random: Source of random numbers for backoff.
        writer: ``node name/boot id``.
        sleep: Waits for some seconds; returns True when the process is stopping.
        limit_s: Longest time of one append.
        attempt_limit_s: Longest time of one attempt; no attempt starts that could exceed the limit.

    Example:
        >>> from citronrack.clock import ManualClock
        >>> from citronrack.log import Claim
        >>> from citronrack.standins.log_store import LogStore, MemoryLogClient
        >>> clock = ManualClock()
        >>> client = MemoryLogClient(LogStore(clock=clock))
        >>> appender = Appender(client=client, clock=clock, random=Random(1), writer="a/1")
        >>> appender.append(Claim("compactor", 1, "a/1", 60_000))
        Appended(offset=0)
    """

    def __init__(
        self,
        *,
        client: LogClient,
        clock: Clock,
        random: Random,
        writer: str,
        sleep: Callable[[float], object] = time.sleep,
        limit_s: float = APPEND_LIMIT_S,
        attempt_limit_s: float = ATTEMPT_LIMIT_S,
    ) -> None:
        self._client = client
        self._clock = clock
        self._random = random
        self._writer = writer
        self._sleep = sleep
        self._limit_s = limit_s
        self._attempt_limit_s = attempt_limit_s
        self._budget = AppendBudget(clock=clock)
        self._sequence = 0

    @property
    def limit_s(self) -> float:
        """Longest time of one append, in seconds."""
        return self._limit_s

    def append(self, body: Any, *, limit_s: float | None = None) -> Appended:
        """Append one record.

        Args:
            body: One of the record classes.
            limit_s: Shorter limit for this append.

        Raises:
            AppendUnknown: When the record may or may not be in the log.
            AppendRefused: When no attempt can have reached the log.
        """
        return self._run_steps(self.append_steps(body, limit_s=limit_s))

    def append_snapshot(self, data: bytes, *, limit_s: float | None = None) -> Appended:
        """Append a snapshot; a retry may store it twice, which readers tolerate.

        Raises:
            AppendUnknown: When the snapshot may or may not be in the log.
            AppendRefused: When no attempt can have reached the log.
        """
        return self._run_steps(self.snapshot_steps(data, limit_s=limit_s))

    def append_steps(self, body: Any, *, limit_s: float | None = None) -> AppendSteps:
        """Return the append as a generator that yields the seconds to wait before its next step.

        The caller sends True to give up early. A simulation drives many appenders with it.
        """
        # A number is used once even when the append is refused: if a refusal were ever wrong, the
        # next record would otherwise be dropped as a duplicate of the refused one.
        self._sequence += 1
        envelope = Envelope(self._writer, self._sequence, self._clock.wall_ms(), body)
        data = encode_record(envelope)
        if len(data) > MAX_MESSAGE_BYTES:
            raise AppendRefused(f"record has {len(data)} bytes, at most {MAX_MESSAGE_BYTES} fit")
        return self._append_with_retries(RECORDS_STREAM, data, limit_s)

    def snapshot_steps(self, data: bytes, *, limit_s: float | None = None) -> AppendSteps:
        """Return the append of a snapshot as a generator; see `append_steps`."""
        return self._append_with_retries(SNAPSHOTS_STREAM, data, limit_s)

    def _run_steps(self, steps: AppendSteps) -> Appended:
        try:
            wait_s = next(steps)
            while True:
                wait_s = steps.send(bool(self._sleep(wait_s)))
        except StopIteration as done:
            return done.value  # type: ignore[no-any-return]

    def _append_with_retries(self, stream: str, data: bytes, limit_s: float | None) -> AppendSteps:
        limit = self._limit_s if limit_s is None else min(limit_s, self._limit_s)
        last_start = self._clock.monotonic() + limit - self._attempt_limit_s
        backoff = Backoff(random=self._random)
        may_be_in_log = False
        failure = "no time was left for an attempt"
        pause_s = 0.0
        while (yield from self._may_start(pause_s, last_start)):
            try:
                return Appended(self._client.append(stream, data))
            except AppendRefused as error:
                failure = str(error)
            except AppendUnknown as error:
                failure = str(error)
                may_be_in_log = True
            pause_s = backoff.next_s()
        if may_be_in_log:
            raise AppendUnknown(f"the record may be in the log: {failure}")
        raise AppendRefused(f"the record is not in the log: {failure}")

    def _may_start(self, pause_s: float, last_start: float) -> Generator[float, bool | None, bool]:
        """Wait for the backoff and a token; return False when there is no time for an attempt."""
        wait_s = max(pause_s, self._budget.wait_s())
        while wait_s > 0:
            if self._clock.monotonic() + wait_s > last_start:
                return False
            if (yield wait_s):
                return False
            wait_s = self._budget.wait_s()
        return self._clock.monotonic() <= last_start and self._budget.take()
