"""Metrics over statsd, and their catalogue."""

from __future__ import annotations

METRICS: dict[str, str] = {
    "control.bytes_sent": "gauge, bytes of frames sent to other nodes since start",
    "control.messages_sent": "gauge, frames sent to other nodes since start",
    "control.messages_rejected": "gauge, dropped frames since start",
    "config.version": "gauge, version in force",
    "log.failures": "counter, failed reads of the platform's log",
    "members.alive": "gauge, live members of the availability zone",
    "calls.served": "counter, calls answered",
    "calls.refused": "counter, calls refused before they ran",
    "calls.failed": "counter, calls without a complete answer",
}


class Metrics:
    """Sends metrics to one statsd server, or nowhere.

    Args:
        address: ``(ip, port)`` of the server, None to send nothing.
        prefix: Prefix of each name.
    """

    def __init__(self, address: tuple[str, int] | None, *, prefix: str) -> None:
        self._client = None
        if address is not None:
            import statsd  # not installed where a platform scrapes the metrics

            self._client = statsd.StatsClient(address[0], address[1], prefix=prefix)

    def count(self, name: str, number: int = 1) -> None:
        """Add ``number`` to a counter."""
        if self._client is not None:
            self._client.incr(name, number)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, milliseconds)
