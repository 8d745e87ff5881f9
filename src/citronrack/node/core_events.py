"""Log events of a node's core."""

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
    """Writes log events for changes in the core.

    Args:
        events: Receives log events.
        clock: Source of time.
    """

    def __init__(self, *, events: EventLog, clock: Clock) -> None:
        self._events = events
        self._clock = clock
        self._next_not_ready = clock.monotonic() + NOT_READY_INTERVAL_S

    def member_changed(self, member: Member) -> None:
        """Log a change of a member's state or drain flag."""
        event = _MEMBER_EVENTS[MemberState(member.state)]
        if member.draining and event is Event.MEMBER_ALIVE:
            event = Event.MEMBER_DRAINING
        self._events.write(event, member=member.name, incarnation=member.incarnation)

    def append_done(self, mail: AppendDone) -> None:
        """Log an append of this node that was refused or whose result is unknown."""
        event = _APPEND_EVENTS.get(mail.fate)
        if event is not None:
            self._events.write(event, kind=type(mail.body).__name__, reason=mail.reason)

    def move_decided(self, body: Any) -> None:
        """Log an accepted record that decided a move."""
        if isinstance(body, MoveOutcome):
            self._events.write(
                Event.MOVE_DECIDED, move=body.move_id, result=body.result, detail=body.detail
            )
        elif isinstance(body, Cancelled):
            self._events.write(Event.MOVE_CANCELLED, move=body.move_id, operator=body.operator)

    def not_ready(self, reason: str) -> None:
        """Log why the node refuses calls, at most once per `NOT_READY_INTERVAL_S`."""
        now = self._clock.monotonic()
        if now >= self._next_not_ready:
            self._next_not_ready = now + NOT_READY_INTERVAL_S
            self._events.write(Event.NODE_NOT_READY, reason=reason)
