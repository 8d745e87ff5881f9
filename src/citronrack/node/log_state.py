"""State of the platform's log, as seen by the reads of this node."""

from __future__ import annotations

from ..clock import Clock
from ..log import LogPage


class LogState:
    """Bounds of the records stream and the time since which reads fail.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._first = 0
        self._end: int | None = None
        self._failing_since: float | None = None

    @property
    def first(self) -> int:
        """Oldest retained offset at the last successful read."""
        return self._first

    @property
    def end(self) -> int | None:
        """End of the stream at the last read; None if that read failed or none was made."""
        return self._end if self._failing_since is None else None

    @property
    def failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing_since is not None

    @property
    def failing_s(self) -> float:
        """Seconds since reads began to fail, 0 while they succeed."""
        if self._failing_since is None:
            return 0.0
        return self._clock.monotonic() - self._failing_since

    def succeeded(self, page: LogPage) -> bool:
        """Record a successful read and return whether reads had failed before."""
        recovered = self.failing
        self._failing_since = None
        self._first = page.first
        self._end = page.end
        return recovered

    def failed(self) -> bool:
        """Record a failed read and return whether it is the first in a row."""
        first_failure = not self.failing
        if first_failure:
            self._failing_since = self._clock.monotonic()
        return first_failure
