"""Requests that the local target works on, and the end of its process under them."""

from __future__ import annotations

import threading
from collections.abc import Callable

from ..errors import CallFailed
from ..verdict import Verdict
from ._connections import Address
from ._sockets import is_refused
from .message import CallerDisconnected, DeadlineExceeded, Request
from .notice import TargetProcess
from .suspects import Suspects
from .suspicion import TargetEnd, digests_of
from .target_identity import TargetIdentity

LISTENER_TIMEOUT_S = 0.05
"""Longest wait for the target's listener, which is on this instance. A process that has ended
refuses connections at once; one that has lost an answer or reset a connection accepts them."""


class RequestsInHand:
    """Tells the end of the target's process from a lost answer, and runs suspects alone.

    Args:
        address: Address of the target.
        identity: Returns the current identity of the target.
        suspects: Requests that may have ended their targets.
    """

    def __init__(
        self, address: Address, *, identity: Callable[[], TargetIdentity], suspects: Suspects
    ) -> None:
        self._address = address
        self._identity = identity
        self._suspects = suspects
        self._lock = threading.Lock()
        self._requests: dict[int, tuple[Request, TargetProcess]] = {}
        self._end_lock = threading.Lock()
        self._ended: TargetProcess | None = None

    def add(self, request: Request, process: TargetProcess) -> bool:
        """Add a request that is about to be sent.

        Returns:
            Whether it may be sent: not if it is deadly, and no suspect beside another one.
        """
        suspect = request.suspect or self._suspects.is_suspect(request)
        if suspect and self._suspects.is_refused(request):
            return False
        with self._lock:
            if suspect and any(
                known.suspect or self._suspects.is_suspect(known)
                for known, _ in self._requests.values()
            ):
                return False
            self._requests[id(request)] = request, process
            return True

    def remove(self, request: Request) -> None:
        """Remove a request that has ended."""
        with self._lock:
            self._requests.pop(id(request), None)

    def remove_failed(self, request: Request, error: CallFailed) -> bool:
        """Remove a request that got no answer; return whether the target's process has ended."""
        ended = self._has_ended(request, error)
        self.remove(request)
        return ended

    def _has_ended(self, request: Request, error: CallFailed) -> bool:
        given_up = isinstance(error, (CallerDisconnected, DeadlineExceeded))
        if given_up or error.verdict is Verdict.NOT_RUN:
            return False
        with self._lock:
            _, process = self._requests[id(request)]
        if not process[0]:
            return False  # Without ids, two processes of the target cannot be told apart.
        with self._end_lock:
            if process == self._ended:
                return True
            identity = self._identity()
            # A target that leaves or that was replaced has not ended under its requests.
            if identity.process != process or identity.refusal or identity.unproven:
                return False
            if not is_refused(self._address, LISTENER_TIMEOUT_S):
                return False
            self._ended = process
            with self._lock:
                in_hand = [known for known, of in self._requests.values() if of == process]
        requests = tuple(digests_of(known) for known in in_hand)
        self._suspects.record_end(TargetEnd(identity.service, *process, requests))
        return True
