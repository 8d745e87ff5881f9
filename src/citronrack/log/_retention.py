"""Measures how long the log keeps its records."""

from __future__ import annotations

from collections import deque

from attrs import frozen

SAMPLE_EVERY_S = 60.0
MAX_SAMPLES = 2_000  # 33 hours


@frozen
class _Sample:
    """Where the log ended at some time of the own monotonic clock."""

    at: float
    end: int


class RetentionEstimator:
    """Compares the log's first offset with where the log ended at earlier times.

    Example:
        >>> gauge = RetentionEstimator()
        >>> gauge.observe(0.0, first=0, end=10)
        >>> gauge.observe(3600.0, first=0, end=20)
        >>> gauge.retention_s is None
        True
        >>> gauge.observe(7200.0, first=15, end=30)
        >>> gauge.retention_s
        7200.0
    """

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)
        self._retention_s: float | None = None

    @property
    def retention_s(self) -> float | None:
        """Age of the newest record known to be trimmed, in seconds; None before one was."""
        return self._retention_s

    def observe(self, now: float, *, first: int, end: int) -> None:
        """Take note of the log's bounds."""
        while self._samples and self._samples[0].end <= first:
            # The sample's last record was trimmed after the previous observation.
            self._retention_s = now - self._samples.popleft().at
        newest = self._samples[-1] if self._samples else _Sample(now - SAMPLE_EVERY_S, first)
        # A sample without new records would count as younger than the record it stands for.
        if end > newest.end and now - newest.at >= SAMPLE_EVERY_S:
            self._samples.append(_Sample(now, end))
