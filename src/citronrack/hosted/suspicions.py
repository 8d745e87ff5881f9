"""Messages by which nodes tell each other which requests may have ended targets."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from ..calls.suspects import Suspects
from ..calls.suspicion import DeadlyRequest, Digests, TargetEnd
from ..transport.messages import message_codec
from ..transport.send import Send
from .fanout import Fanout
from .rollout_record import Phase, RolloutRecord

END_RELAYS = 2
"""Relays of each zone for the end of a target: the second target that ends should not be needed
in another zone because one message was lost."""

MENDED = "a rollout of the service was completed"

message_codec.register("h-end")(TargetEnd)


@message_codec.register("h-clr")
@frozen
class SuspectsCleared:
    """Suspects whose requests have succeeded.

    Attributes:
        digests: Their digests.
    """

    digests: Digests


@message_codec.register("h-ddl")
@frozen
class DeadlyRequests:
    """The deadly requests that a node knows, for one that has just started.

    Attributes:
        requests: The requests.
    """

    requests: tuple[DeadlyRequest, ...]


class SuspicionExchange:
    """Passes on what this node sees of suspects, and applies what the others see.

    Args:
        suspects: The suspects of this node.
        fanout: Selects peers.
    """

    def __init__(self, suspects: Suspects, *, fanout: Fanout) -> None:
        self._suspects = suspects
        self._fanout = fanout
        self._completed: dict[str, int] = {}

    def on_tick(self) -> list[Send]:
        """Return the messages about suspects that were cleared here since the last tick."""
        self._suspects.on_tick()
        cleared = self._suspects.take_cleared()
        return self._fanout.to_all(SuspectsCleared(cleared)) if cleared else []

    def on_local_end(self, end: TargetEnd) -> list[Send]:
        """Return the messages about the end of the local target."""
        return self._fanout.to_all(end, relays=END_RELAYS)

    def for_new_node(self) -> list[Any]:
        """Return what a node that has just started should know."""
        deadly = self._suspects.deadly()
        return [DeadlyRequests(deadly)] if deadly else []

    def on_end(self, sender: str, end: TargetEnd) -> None:
        """Apply the end of another node's target."""
        self._suspects.on_end(end, source=sender)

    def on_cleared(self, _: str, message: SuspectsCleared) -> None:
        """Apply what has succeeded at another node."""
        self._suspects.on_cleared(message.digests)

    def on_deadly(self, _: str, message: DeadlyRequests) -> None:
        """Apply what another node knows."""
        self._suspects.on_deadly(message.requests)

    def on_rollout(self, record: RolloutRecord) -> None:
        """Let deadly requests of a service try it again once it has moved to another version."""
        if record.phase != Phase.COMPLETED:
            return
        if self._completed.get(record.service, -1) < record.order_id:
            self._completed[record.service] = record.order_id
            self._suspects.release(record.service, reason=MENDED)
