"""A small histogram from which a node estimates a quantile of latencies."""

from __future__ import annotations

import math

BINS_PER_OCTAVE = 8  # a quantile is exact to 9%
LOWEST_US = 50
BINS = 160  # up to 50 s
_OCTAVE = math.log(2)


class LatencyHistogram:
    """Counts latencies in logarithmic bins."""

    def __init__(self) -> None:
        self._bins = [0] * BINS
        self.calls = 0

    def add(self, latency_s: float, number: int = 1) -> None:
        """Count ``number`` calls that took ``latency_s`` seconds."""
        octaves = math.log(max(latency_s * 1e6, LOWEST_US) / LOWEST_US) / _OCTAVE
        self._bins[min(int(octaves * BINS_PER_OCTAVE), BINS - 1)] += number
        self.calls += number

    def quantile_us(self, quantile: float) -> int:
        """Return the upper edge of the bin that holds the quantile, in microseconds."""
        wanted = quantile * self.calls
        seen = 0
        for index, number in enumerate(self._bins):
            seen += number
            if seen >= wanted and seen:
                return int(LOWEST_US * 2 ** ((index + 1) / BINS_PER_OCTAVE))
        return 0
