"""Members of other zones, as described by their relays."""

from __future__ import annotations

from attrs import frozen

from .member import Member, MemberState


@frozen
class MemberSummary:
    """Description of a member for other zones; the fields have the meanings of `Member`."""

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
        summary: Its latest summary.
        age_s: Seconds since a relay of its zone confirmed the summary.
        known: Whether the summary is recent; otherwise the state is unknown, which is not gone.
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
        """A value of `MemberState`; suspicions are not sent to other zones."""
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
