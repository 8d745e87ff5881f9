"""Description of a node and its target, as exchanged between nodes."""

from __future__ import annotations

from enum import IntEnum

from attrs import frozen


class MemberState(IntEnum):
    """Health of a member; within one incarnation the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@frozen
class Member:
    """A node with its target.

    Attributes:
        name: Unique name of the node.
        address: ``tcp://ip:port`` for messages.
        call_address: ``ip:port`` for calls of callers.
        deliver_address: ``ip:port`` for calls forwarded by other nodes.
        availability_zone: Zone of the instance.
        service: Service of the target.
        service_version: Release of the target.
        incarnation: Raised by the member itself with each change; the greatest one wins.
        state: A value of `MemberState`.
        draining: Whether the target takes no new calls.
        ready: Whether the node has a configuration and serves calls.
        version: Configuration version in force, -1 for none.
        load: Calls in flight or queued at the target.
        slots: Calls that the target runs concurrently.
        reading: Whether the node can read the platform's log.
    """

    name: str
    address: str
    call_address: str
    deliver_address: str
    availability_zone: str
    service: str
    service_version: str
    incarnation: int
    state: int = 0
    draining: bool = False
    ready: bool = False
    version: int = -1
    load: int = 0
    slots: int = 6
    reading: bool = True

    @property
    def precedence(self) -> tuple[int, int]:
        """Order of two descriptions of the same member; the greater one is newer."""
        return self.incarnation, self.state
