"""Appends records so that each takes effect once."""

from __future__ import annotations

from random import Random
from typing import Any

from attrs import frozen

from ..clock import Clock
from .client import LogClient
from .records import RECORDS_STREAM, Envelope, encode_record


@frozen
class Appended:
    """A record stands in the log.

    Attributes:
        offset: Its offset; the fold decides whether it took effect.
    """

    offset: int


class Appender:
    """Writes the records of one process, one at a time.

    Args:
        client: Access to the log.
        clock: Source of time.
        random: Source of random numbers for backoff.
        writer: ``node name/boot id``.
    """

    def __init__(self, *, client: LogClient, clock: Clock, random: Random, writer: str) -> None:
        self._client = client
        self._clock = clock
        self._random = random
        self._writer = writer
        self._sequence = 0

    def append(self, body: Any) -> Appended:
        """Append one record.

        Raises:
            AppendUnknown: When the record may or may not be in the log.
            AppendRefused: When the record is not in the log.
        """
        self._sequence += 1
        envelope = Envelope(self._writer, self._sequence, self._clock.wall_ms(), body)
        return Appended(self._client.append(RECORDS_STREAM, encode_record(envelope)))
