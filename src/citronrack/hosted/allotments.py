"""Tokens of workspaces at one node, shared by call threads and the core."""

from __future__ import annotations

import threading
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from attrs import define, field, frozen

from ..clock import Clock
from ..decisions.allocator import Grant
from ..decisions.allotment import Admission, AdmissionStatus, AllotmentNode
from ..decisions.tokens import Limit

FIRST_ANSWER_S = 0.02
"""Time after which a request for tokens without an answer also goes to other zones. Within a zone
an answer takes two milliseconds."""

LAST_ANSWER_S = 0.05
"""Longest time for which a request waits for tokens."""


@frozen
class TokensWanted:
    """A request waits for a token.

    Attributes:
        workspace: Name of the workspace.
        overdue: Whether the allocator of the own zone has not answered in time.
    """

    workspace: str
    overdue: bool = False


@define(eq=False)
class TokenWait:
    """The wait of a request for a token.

    Attributes:
        workspace: Name of the workspace.
        ready: Set once there is a result.
        result: The result, None while the request waits.
    """

    workspace: str
    ready: threading.Event = field(factory=threading.Event)
    result: Admission | None = None


class Allotments:
    """Admits requests of workspaces; shared by call threads and the core, thread-safe.

    Args:
        slack: Requests in a window that are tolerated beyond each limit.
        clock: Clock that keeps running while the instance is suspended.
        post: Passes a message to the core.
    """

    def __init__(self, *, slack: float, clock: Clock, post: Callable[[Any], None]) -> None:
        self._clock = clock
        self._post = post
        self._node = AllotmentNode(slack=slack, now=clock.monotonic())
        self._waiting: dict[str, deque[TokenWait]] = defaultdict(deque)
        self._lock = threading.Lock()

    def admit(self, workspace: str) -> Admission:
        """Take a token for a request; waits for an allocator for `LAST_ANSWER_S` at most."""
        waiter = self.begin(workspace)
        if not isinstance(waiter, TokenWait):
            return waiter
        if not waiter.ready.wait(FIRST_ANSWER_S):
            self._post(TokensWanted(workspace, overdue=True))
            waiter.ready.wait(LAST_ANSWER_S - FIRST_ANSWER_S)
        return self.end(waiter)

    def begin(self, workspace: str) -> Admission | TokenWait:
        """Take a token, or ask for one.

        Returns:
            The result, or the wait for it, which `end` must finish.
        """
        with self._lock:
            result = self._node.admit(workspace, self._clock.monotonic())
            if result is not AdmissionStatus.ASK:
                return result
            waiter = TokenWait(workspace)
            self._waiting[workspace].append(waiter)
        self._post(TokensWanted(workspace))
        return waiter

    def end(self, waiter: TokenWait) -> Admission:
        """Return the result of a wait, whether an allocator has answered or not."""
        with self._lock:
            if waiter.result is not None:
                return waiter.result
            self._waiting[waiter.workspace].remove(waiter)
            result = self._node.admit(waiter.workspace, self._clock.monotonic(), counted=False)
            return AdmissionStatus.UNKNOWN if result is AdmissionStatus.ASK else result

    def refund(self, workspace: str) -> None:
        """Return the token of a request that did not run."""
        with self._lock:
            self._node.refund(workspace, self._clock.monotonic())

    # Called by the core.

    def set_limits(self, limits: Mapping[str, Limit]) -> None:
        """Apply the limits of the workspaces."""
        with self._lock:
            self._node.set_limits(limits)

    def set_nodes(self, nodes: int, now: float) -> None:
        """Set the number of nodes that share the limits, as an allocator has stated it."""
        with self._lock:
            self._node.set_nodes(nodes, now)

    def pledge(self, allocator: str, shards: Iterable[int], now: float) -> tuple[int, ...]:
        """Pledge shards to an allocator; return those for which that is possible now."""
        with self._lock:
            return self._node.pledge(allocator, tuple(shards), now)

    def advances(self, now: float) -> dict[str, int]:
        """Return the tokens to ask for in advance, by workspace."""
        with self._lock:
            return self._node.advances(now)

    def advance(self, workspace: str, now: float) -> int:
        """Return the tokens of a workspace to ask for in advance."""
        with self._lock:
            return self._node.advance(workspace, now)

    def add(self, workspace: str, tokens: int, *, asked_at: float, now: float) -> int:
        """Add tokens and wake requests that wait for them.

        Args:
            workspace: Name of the workspace.
            tokens: Number of tokens.
            asked_at: Time at which they were asked for.
            now: Time in seconds.

        Returns:
            Number of requests that still wait.
        """
        with self._lock:
            self._node.add(workspace, tokens, asked_at=asked_at)
            return self._wake(workspace, now)

    def deny(self, workspace: str, grant: Grant, now: float) -> None:
        """Refuse requests for the time that an allocator has stated, also those that wait."""
        with self._lock:
            self._node.deny(workspace, grant, now)
            self._wake(workspace, now)

    def _wake(self, workspace: str, now: float) -> int:
        """Wake requests that have a result; return how many still wait."""
        waiting = self._waiting[workspace]
        while waiting:
            result = self._node.admit(workspace, now, counted=False)
            if result is AdmissionStatus.ASK:
                break
            waiter = waiting.popleft()
            waiter.result = result
            waiter.ready.set()
        return len(waiting)
