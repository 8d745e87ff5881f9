"""Messages of failure detection."""

from __future__ import annotations

from attrs import frozen

from ..transport.messages import message_codec
from .member import Member


@frozen
class Suspicion:
    """Report of a witness that a member does not answer.

    Attributes:
        name: The suspected member.
        incarnation: Its incarnation; a greater one refutes the suspicion.
        witness: Name of the node that got no ack.
    """

    name: str
    incarnation: int
    witness: str


@message_codec.register("ping")
@frozen
class Ping:
    """Probes a member and carries gossip.

    Attributes:
        sequence: Sequence number that the ack repeats.
        member: Description of the sender.
        updates: Descriptions of other members.
        offset: Next offset to fold on the sender.
        facts_digest: Digest of the sender's facts.
        suspicions: Suspicions of members that do not answer.
        table_digest: Digest of the sender's member table.
    """

    sequence: int
    member: Member
    updates: tuple[Member, ...]
    offset: int
    facts_digest: int
    suspicions: tuple[Suspicion, ...] = ()
    table_digest: int = 0


@message_codec.register("ack")
@frozen
class Ack:
    """Answers a `Ping` with the same fields."""

    sequence: int
    member: Member
    updates: tuple[Member, ...]
    offset: int
    facts_digest: int
    suspicions: tuple[Suspicion, ...] = ()
    table_digest: int = 0


@message_codec.register("ping-request")
@frozen
class PingRequest:
    """Asks a member for an indirect ping of another one.

    Attributes:
        sequence: Sequence number that the answer repeats.
        target: Name of the member to ping.
        address: Its address.
    """

    sequence: int
    target: str
    address: str


@message_codec.register("indirect-ack")
@frozen
class IndirectAck:
    """Answers a `PingRequest`.

    Attributes:
        sequence: Sequence number of the request.
        witness: Name of the node that pinged.
        reached: Whether the target answered.
    """

    sequence: int
    witness: str
    reached: bool


@message_codec.register("join")
@frozen
class Join:
    """Requests a page of the member table.

    Attributes:
        member: Description of the sender.
        after: The page holds members with greater names, in the order of names.
    """

    member: Member
    after: str = ""


@message_codec.register("member-page")
@frozen
class MemberPage:
    """Answers `Join` with a page of the member table.

    Attributes:
        member: Description of the sender.
        packed: Compressed descriptions in the order of names.
        last: Whether the sender knows no members with greater names.
    """

    member: Member
    packed: bytes
    last: bool


@message_codec.register("table-pull")
@frozen
class TablePull:
    """Requests the members in the differing buckets of two tables.

    Attributes:
        member: Description of the sender.
        buckets: Digests of the sender's table.
        answer: Whether the receiver should request the sender's members as well.
    """

    member: Member
    buckets: tuple[int, ...]
    answer: bool = True


@message_codec.register("table-page")
@frozen
class TablePage:
    """Answers `TablePull` with the compressed descriptions in the differing buckets."""

    packed: bytes


@message_codec.register("drain-notice")
@frozen
class DrainNotice:
    """Announces without delay that a member is draining, has left or was declared gone.

    Attributes:
        member: Description of the member.
    """

    member: Member
