"""Decides which requests end the processes of their targets; has no sockets, threads or clock.

A request that makes its target crash is repeated by nodes and by callers that come back, until
each target of the service has crashed. The requests that a target had in hand when it ended are
suspects. The cause is told from the bystanders by running suspects alone: a bystander succeeds, the
cause ends another target.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import IntEnum

import xxhash
from attrs import define, field, frozen

from .message import Request
from .notice import TargetProcess

ENDS_WHEN_ALONE = 2
"""Targets after which a suspect is deadly, if no other suspect was in hand at the last one."""

ENDS_AT_LEAST = 3
"""Targets after which a suspect is deadly whatever else was in hand."""

COINCIDENCE_S = 1.0
"""Targets of a service that end within this time under other requests point at another cause, such
as a loss of several instances."""

HOLD_S = 0.5
"""Time after the end of a target in which its suspects are only repeated by the node that sent
them. A bystander's repeat usually succeeds within it."""

SUSPECT_TTL_S = 30.0
"""Time without a further end after which a suspect is forgotten."""

DEADLY_S = 60.0
"""Time for which a deadly request is refused. After it, one call tries the service again."""

MAX_DEADLY_S = 600.0
"""Longest time between two tries; each failed one doubles it."""

MAX_SUSPECTS = 1_024
"""Suspects that are kept, the latest ones; an end adds two for each slot of a target at most."""

MAX_DEADLY = 8
"""Deadly requests of a service at a time. A service that ends under more of them has a fault of its
own, which no refusal of single requests mends."""

MAX_ENDS = 64
"""Recent ends that are kept, for coincidences and for messages that arrive twice."""


class Standing(IntEnum):
    """What a request may do, ordered from the least to the most suspicious."""

    CLEAR = 0
    """It is no suspect."""

    PROBE = 1
    """It was deadly, and this call tries the service again, alone."""

    SUSPECT = 2
    """It may run where no other suspect runs."""

    HELD = 3
    """A target has just ended under it; others wait for the result of its repeat."""

    DEADLY = 4
    """It is refused."""


Digests = tuple[str, ...]
"""Digests of one request, see `digests_of`."""


@frozen
class TargetEnd:
    """The end of a target's process.

    Attributes:
        service: Service of the target.
        target_id: Id of the process.
        started_ms: Wall time of its start, in milliseconds.
        requests: Digests of each request that it had in hand.
    """

    service: str
    target_id: str
    started_ms: int
    requests: tuple[Digests, ...]

    @property
    def process(self) -> TargetProcess:
        """Identifies the process."""
        return self.target_id, self.started_ms

    @property
    def digests(self) -> frozenset[str]:
        """Digests of all requests."""
        return frozenset(digest for request in self.requests for digest in request)


@frozen
class DeadlyRequest:
    """A request that ends its targets.

    Attributes:
        digest: Its digest.
        service: Service whose targets it ends.
        targets: Ids of the targets that ended.
        left_ms: Time for which it is still refused, in milliseconds.
    """

    digest: str
    service: str
    targets: tuple[str, ...]
    left_ms: int


def digests_of(request: Request) -> Digests:
    """Return the digests that identify a request when its caller comes back with another id.

    The first one covers method, host and path with query; callers that send different bodies to one
    path clear it for each other. The second one covers a body in memory, too.
    """
    head = b"\0".join([request.method.encode(), request.host.encode(), request.target])
    digest = xxhash.xxh3_128(head)
    path = digest.hexdigest()
    body = request.body.whole
    if not body:
        return (path,)
    digest.update(b"\0" + body)
    return path, digest.hexdigest()


@define(eq=False)
class _Suspect:
    """What is known of one digest.

    Attributes:
        service: Service whose targets ended.
        ends: Targets that ended with it in hand, and when.
        deadly_until: Time until which it is refused, None for one that is only suspected.
        hold_s: Time for which it is refused at a time.
        tried: Whether a call has tried the service again since it became deadly.
    """

    service: str
    ends: dict[TargetProcess, float] = field(factory=dict)
    deadly_until: float | None = None
    hold_s: float = DEADLY_S
    tried: bool = False

    @property
    def last_end(self) -> float:
        """Time of the latest end."""
        return max(self.ends.values(), default=0.0)

    @property
    def forgotten_at(self) -> float:
        """Time at which it is forgotten without a further end or call."""
        if self.deadly_until is None:
            return self.last_end + SUSPECT_TTL_S
        return self.deadly_until + DEADLY_S

    def condemn(self, now: float) -> None:
        """Refuse it from now on, for longer after each try that ended a target."""
        elapsed = self.deadly_until is not None and now >= self.deadly_until
        if self.tried or elapsed:
            self.hold_s = min(2 * self.hold_s, MAX_DEADLY_S)
            self.tried = False
        self.deadly_until = now + self.hold_s


class SuspectTable:
    """The suspects known to one node; times are passed in, in seconds of one monotonic clock."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._ends: deque[tuple[float, TargetEnd]] = deque(maxlen=MAX_ENDS)

    def __len__(self) -> int:
        return len(self._suspects)

    def standing(self, digests: Digests, now: float) -> Standing:
        """Return what a request with these digests may do.

        A probe renews the refusal for others, so that one call at a time tries.
        """
        return max((self._standing(digest, now) for digest in digests), default=Standing.CLEAR)

    def knows(self, digests: Digests, now: float) -> bool:
        """Return whether a request is a suspect or deadly."""
        return self.is_deadly(digests) or self._is_suspect(digests, now)

    def is_deadly(self, digests: Digests) -> bool:
        """Return whether a request is deadly, or was when it was tried last."""
        return any(self._is_deadly(digest) for digest in digests)

    def is_refused(self, digests: Digests, now: float) -> bool:
        """Return whether a request is deadly and not due for another try."""
        known = [self._suspects[digest] for digest in digests if digest in self._suspects]
        return any(now < (suspect.deadly_until or 0.0) for suspect in known)

    def knows_end(self, end: TargetEnd) -> bool:
        """Return whether the end of a process is recorded already."""
        return any(known.process == end.process for _, known in self._ends)

    def targets(self, digests: Digests) -> tuple[str, ...]:
        """Return the ids of the targets that ended with a request in hand."""
        known = [self._suspects[digest] for digest in digests if digest in self._suspects]
        return tuple(dict.fromkeys(target_id for s in known for target_id, _ in s.ends))

    def on_end(self, end: TargetEnd, now: float) -> tuple[str, ...]:
        """Record that a target has ended; return the digests that are deadly since then."""
        if self.knows_end(end):
            return ()
        coincident = [
            known
            for at, known in self._ends
            if known.service == end.service and now - at <= COINCIDENCE_S
        ]
        self._ends.append((now, end))
        self._pardon(end, now)
        causes = [digest for digest in end.digests if self._is_deadly(digest)]
        for digest in causes:
            self._suspects[digest].ends[end.process] = now
            self._suspects[digest].condemn(now)
        if causes:
            return ()  # The other requests in hand are bystanders.
        before = {request for request in end.requests if self._is_suspect(request, now)}
        deadly = []
        for request in dict.fromkeys(end.requests):
            alone = not before - {request}
            for digest in request:
                suspect = self._suspects.setdefault(digest, _Suspect(end.service))
                self._suspects.move_to_end(digest)
                suspect.ends[end.process] = now
                related = all(digest in known.digests for known in coincident)
                needed = ENDS_WHEN_ALONE if alone and related else ENDS_AT_LEAST
                if len(suspect.ends) >= needed and self._may_condemn(end.service):
                    suspect.condemn(now)
                    deadly.append(digest)
        if deadly:
            self._clear_bystanders(deadly)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return tuple(deadly)

    def clear(self, digests: Digests) -> Digests:
        """Record that a request has succeeded; return the digests that were suspects."""
        return tuple(digest for digest in digests if self._suspects.pop(digest, None) is not None)

    def add_deadly(self, deadly: DeadlyRequest, now: float) -> None:
        """Take over what another node knows of a deadly request."""
        suspect = self._suspects.setdefault(deadly.digest, _Suspect(deadly.service))
        for target_id in deadly.targets:
            if all(target_id != known for known, _ in suspect.ends):
                suspect.ends[target_id, 0] = now
        suspect.deadly_until = max(suspect.deadly_until or 0.0, now + deadly.left_ms / 1000)

    def deadly(self, now: float) -> tuple[DeadlyRequest, ...]:
        """Return the requests that are refused now."""
        return tuple(
            DeadlyRequest(
                digest, suspect.service, self.targets((digest,)), round(1000 * (until - now))
            )
            for digest, suspect in self._suspects.items()
            if (until := suspect.deadly_until) is not None and until > now
        )

    def release(self, service: str, now: float) -> Digests:
        """Let the next call with each deadly request of a service try it; return their digests."""
        released = []
        for digest, suspect in self._suspects.items():
            if suspect.service == service and suspect.deadly_until is not None:
                suspect.deadly_until = min(suspect.deadly_until, now)
                released.append(digest)
        return tuple(released)

    def expire(self, now: float) -> None:
        """Forget suspects without a further end, and deadly requests that nobody sends any more."""
        self._suspects = OrderedDict(
            (digest, suspect)
            for digest, suspect in self._suspects.items()
            if now < suspect.forgotten_at
        )

    def _standing(self, digest: str, now: float) -> Standing:
        suspect = self._suspects.get(digest)
        if suspect is None:
            return Standing.CLEAR
        if suspect.deadly_until is not None:
            if now < suspect.deadly_until:
                return Standing.DEADLY
            suspect.deadly_until = now + suspect.hold_s
            suspect.tried = True
            return Standing.PROBE
        if now >= suspect.last_end + SUSPECT_TTL_S:
            return Standing.CLEAR
        return Standing.HELD if now < suspect.last_end + HOLD_S else Standing.SUSPECT

    def _is_deadly(self, digest: str) -> bool:
        suspect = self._suspects.get(digest)
        return suspect is not None and suspect.deadly_until is not None

    def _is_suspect(self, request: Digests, now: float) -> bool:
        return any(
            digest in self._suspects and now < self._suspects[digest].last_end + SUSPECT_TTL_S
            for digest in request
        )

    def _may_condemn(self, service: str) -> bool:
        deadly = [s for s in self._suspects.values() if s.deadly_until is not None]
        return sum(suspect.service == service for suspect in deadly) < MAX_DEADLY

    def _pardon(self, end: TargetEnd, now: float) -> None:
        """Suspect again what seemed deadly after two ends, if another target ends without it."""
        for digest, suspect in self._suspects.items():
            if (
                suspect.deadly_until is not None
                and suspect.service == end.service
                and len(suspect.ends) < ENDS_AT_LEAST
                and now - suspect.last_end <= COINCIDENCE_S
                and digest not in end.digests
            ):
                suspect.deadly_until = None

    def _clear_bystanders(self, deadly: Iterable[str]) -> None:
        """Forget the suspects whose targets all ended with a deadly request in hand."""
        explained = {process for digest in deadly for process in self._suspects[digest].ends}
        for digest, suspect in list(self._suspects.items()):
            if suspect.deadly_until is None and suspect.ends.keys() <= explained:
                del self._suspects[digest]
