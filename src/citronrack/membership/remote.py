"""Members of other zones, as their relays describe them."""

from __future__ import annotations

from attrs import frozen

from .member import Member, MemberState


@frozen
class MemberSummary:
    """What other zones need to know of a member; field meanings as in `Member`."""

    name: str
    address: str
    deliver_address: str
    service: str
    service_version: str
    incarnation: int
    gone: bool
    draining: bool
    ready: bool
    slots: int

    @property
    def precedence(self) -> tuple[int, bool]:
        """Order of two descriptions of the same member; the greater one is newer."""
        return self.incarnation, self.gone


@frozen
class RemoteMember:
    """A member of another zone.

    Attributes:
        availability_zone: Its zone.
        summary: What its relays said.
        age_s: Seconds since a relay of its zone confirmed this.
        known: Whether that is recent; otherwise its state is unknown, not gone.
    """

    availability_zone: str
    summary: MemberSummary
    age_s: float
    known: bool

    @property
    def name(self) -> str:
        """Name of the node."""
        return self.summary.name

    @property
    def state(self) -> int:
        """A value of `MemberState`; suspicions stay within a zone."""
        return int(MemberState.GONE if self.summary.gone else MemberState.ALIVE)

    @property
    def ready(self) -> bool:
        """Whether the node serves calls."""
        return self.summary.ready


def summary_of(member: Member) -> MemberSummary:
    """Return the description of a member of this zone for other zones."""
    return MemberSummary(
        member.name,
        member.address,
        member.deliver_address,
        member.service,
        member.service_version,
        member.incarnation,
        member.state == MemberState.GONE,
        member.draining,
        member.ready,
        member.slots,
    )
