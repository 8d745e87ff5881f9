"""The interface between cores and the transport."""

from __future__ import annotations

from typing import Any, Protocol

from attrs import frozen


@frozen
class Send:
    """An outgoing message for one node.

    Attributes:
        to: Address of the receiving node, ``tcp://ip:port``.
        message: Instance of a class registered with the message codec.
    """

    to: str
    message: Any


class Core(Protocol):
    """A state machine without I/O that exchanges messages with other nodes."""

    def on_message(self, sender: str, message: Any) -> list[Send]:
        """Handle a message and return what to send.

        Args:
            sender: Address of the sending node, ``tcp://ip:port``.
            message: Instance of one of the core's message classes.
        """

    def on_tick(self) -> list[Send]:
        """Handle expired timers and return what to send; called about four times a second."""
