"""What a node tells others of the room at its target, and the urgency of a call."""

from __future__ import annotations

from typing import NamedTuple

from attrs import frozen


class Urgency(NamedTuple):
    """Rank of a call under overload; the lower one goes first.

    Attributes:
        workspace: Priority of the caller's workspace, 0 without one.
        route: Priority of the route.
    """

    workspace: int = 0
    route: int = 0


@frozen
class Room:
    """Room at a target for a call of the urgency that was asked for.

    Attributes:
        free_slots: Slots that are not in use.
        waiting: Calls that wait for a slot.
        wait_s: Expected wait of a new call, in seconds.
        pace: Time that work takes at the target relative to the usual, 1.0 for the usual.
    """

    free_slots: int
    waiting: int
    wait_s: float
    pace: float = 1.0
