"""Writes the log lines of a node's core."""

from __future__ import annotations

from typing import Any

from ..clock import Clock
from ..log import Cancelled, MoveOutcome
from ..membership import Member, MemberState
from ..telemetry import Event, EventLog
from .mail import AppendDone, AppendFate

NOT_READY_INTERVAL_S = 10.0

_APPEND_EVENTS = {
    AppendFate.REFUSED: Event.APPEND_REFUSED,
    AppendFate.UNKNOWN: Event.APPEND_UNKNOWN,
}
_MEMBER_EVENTS = {
    MemberState.ALIVE: Event.MEMBER_ALIVE,
    MemberState.SUSPECT: Event.MEMBER_SUSPECT,
    MemberState.GONE: Event.MEMBER_GONE,
}


class CoreEvents:
    """Turns what happened into numbered events.

    Args:
        events: Where log events go.
        clock: Source of time.
    """

    def __init__(self, *, events: EventLog, clock: Clock) -> None:
        self._events = events
        self._clock = clock
        self._next_not_ready = clock.monotonic() + NOT_READY_INTERVAL_S

    def member_changed(self, member: Member) -> None:
        """Write that a member's state or drain flag has changed."""
        event = _MEMBER_EVENTS[MemberState(member.state)]
        if member.draining and event is Event.MEMBER_ALIVE:
            event = Event.MEMBER_DRAINING
        self._events.write(event, member=member.name, incarnation=member.incarnation)

    def append_done(self, mail: AppendDone) -> None:
        """Write that an append of the node itself failed; says nothing of others."""
        event = _APPEND_EVENTS.get(mail.fate)
        if event is not None:
            self._events.write(event, kind=type(mail.body).__name__, reason=mail.reason)

    def move_decided(self, body: Any) -> None:
        """Write that an accepted record decided a move; says nothing of others."""
        if isinstance(body, MoveOutcome):
            self._events.write(
                Event.MOVE_DECIDED, move=body.move_id, result=body.result, detail=body.detail
            )
        elif isinstance(body, Cancelled):
            self._events.write(Event.MOVE_CANCELLED, move=body.move_id, operator=body.operator)

    def not_ready(self, reason: str) -> None:
        """Write why the node refuses calls, at most once in `NOT_READY_INTERVAL_S`."""
        now = self._clock.monotonic()
        if now >= self._next_not_ready:
            self._next_not_ready = now + NOT_READY_INTERVAL_S
            self._events.write(Event.NODE_NOT_READY, reason=reason)
