"""The suspects of one node, shared by its call threads and its control task."""

from __future__ import annotations

import threading
from collections.abc import Callable

from ..clock import Clock
from ..telemetry import Event, EventLog
from .message import Request
from .suspicion import DeadlyRequest, Digests, Standing, SuspectTable, TargetEnd, digests_of

LOGGED_DIGESTS = 20
"""Digests in one log line; a target has fewer slots."""

END_REPORTED_HERE = "this node"


def _ignore(_: object) -> None:
    return None


class Suspects:
    """Requests that may have ended their targets, as this node and the others have seen it.

    Nothing of a request is kept but digests. Thread-safe.

    Args:
        clock: Source of time.
        events: Event log.
        publish: Sends the end of the local target to all nodes.
        count_refusal: Called with the standing of each request that is refused for it.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        *,
        publish: Callable[[TargetEnd], None] = _ignore,
        count_refusal: Callable[[Standing], None] = _ignore,
    ) -> None:
        self._clock = clock
        self._events = events
        self._publish = publish
        self._count_refusal = count_refusal
        self._lock = threading.Lock()
        self._table = SuspectTable()
        self._cleared: list[str] = []

    def __len__(self) -> int:
        return len(self._table)

    def standing(self, request: Request) -> Standing:
        """Return what a request that a caller has sent may do; log a refusal."""
        if not self._table:
            return Standing.CLEAR
        digests = digests_of(request)
        now = self._clock.monotonic()
        with self._lock:
            standing = self._table.standing(digests, now)
            targets = self._table.targets(digests)
        if standing >= Standing.HELD:
            self._count_refusal(standing)
            self._events.write(
                Event.SUSPECT_REFUSED,
                request_id=request.request_id,
                standing=standing.name.lower(),
                digests=digests,
                targets=targets,
            )
        return standing

    def is_suspect(self, request: Request) -> bool:
        """Return whether a request is a suspect or deadly; changes nothing."""
        if not self._table:
            return False
        with self._lock:
            return self._table.knows(digests_of(request), self._clock.monotonic())

    def is_deadly(self, request: Request) -> bool:
        """Return whether a request is deadly; changes nothing."""
        if not self._table:
            return False
        with self._lock:
            return self._table.is_deadly(digests_of(request))

    def is_refused(self, request: Request) -> bool:
        """Return whether a request is deadly and not due for another try; changes nothing."""
        with self._lock:
            return self._table.is_refused(digests_of(request), self._clock.monotonic())

    def record_end(self, end: TargetEnd) -> None:
        """Record that the local target has ended, and tell the other nodes."""
        if end.requests:
            self._publish(end)
            self.on_end(end, source=END_REPORTED_HERE)

    def record_success(self, request: Request) -> None:
        """Record that a request has been answered by its target."""
        if not self._table:
            return
        with self._lock:
            cleared = self._table.clear(digests_of(request))
            self._cleared += cleared
        if cleared:
            self._events.write(
                Event.SUSPECT_CLEARED, request_id=request.request_id, digests=cleared
            )

    def take_cleared(self) -> Digests:
        """Return the digests that were cleared here since the last call."""
        if not self._cleared:
            return ()
        with self._lock:
            cleared, self._cleared = tuple(self._cleared), []
            return cleared

    def on_end(self, end: TargetEnd, *, source: str) -> None:
        """Record that a target has ended.

        Args:
            end: The end.
            source: Who has seen it.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._table.knows_end(end)
            deadly = self._table.on_end(end, now)
            targets = {digest: self._table.targets((digest,)) for digest in deadly}
        if not known:
            self._events.write(
                Event.REQUESTS_SUSPECTED,
                service=end.service,
                target_id=end.target_id,
                requests=len(end.requests),
                digests=sorted(end.digests)[:LOGGED_DIGESTS],
                source=source,
            )
        for digest in deadly:
            self._events.write(
                Event.REQUEST_DEADLY,
                service=end.service,
                digest=digest,
                targets=targets[digest],
            )

    def on_cleared(self, digests: Digests) -> None:
        """Forget digests whose request has succeeded at another node."""
        with self._lock:
            self._table.clear(digests)

    def on_deadly(self, requests: tuple[DeadlyRequest, ...]) -> None:
        """Take over the deadly requests that another node knows."""
        now = self._clock.monotonic()
        with self._lock:
            for request in requests:
                self._table.add_deadly(request, now)

    def deadly(self) -> tuple[DeadlyRequest, ...]:
        """Return the requests that are refused now."""
        if not self._table:
            return ()
        with self._lock:
            return self._table.deadly(self._clock.monotonic())

    def release(self, service: str, *, reason: str) -> None:
        """Let the next call with each deadly request of a service try it.

        Args:
            service: The service, whose targets may have been mended.
            reason: Why.
        """
        with self._lock:
            released = self._table.release(service, self._clock.monotonic())
        if released:
            self._events.write(
                Event.DEADLY_RELEASED, service=service, digests=released, reason=reason
            )

    def on_tick(self) -> None:
        """Forget what is old."""
        if self._table:
            with self._lock:
                self._table.expire(self._clock.monotonic())
