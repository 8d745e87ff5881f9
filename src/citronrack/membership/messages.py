"""Messages of failure detection."""

from __future__ import annotations

from attrs import frozen

from ..transport.messages import message_codec
from .member import Member


@frozen
class Suspicion:
    """One node's claim that a member does not answer.

    Attributes:
        name: The silent member.
        incarnation: Its incarnation; a greater one refutes the claim.
        witness: The node that got no answer.
    """

    name: str
    incarnation: int
    witness: str


@message_codec.register("ping")
@frozen
class Ping:
    """Asks a member for a sign of life.

    Attributes:
        sequence: Number that the answer repeats.
        member: Description of the sender.
        updates: Descriptions of other members.
        offset: Next offset that the sender folds.
        facts_digest: Digest of the sender's facts.
        suspicions: Claims about silent members.
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
    """Asks a member to ping another one.

    Attributes:
        sequence: Number that the answer repeats.
        target: Name of the silent member.
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
        sequence: Number of the request.
        witness: Name of the node that pinged.
        reached: Whether the target answered.
    """

    sequence: int
    witness: str
    reached: bool


@message_codec.register("join")
@frozen
class Join:
    """Asks for a page of the member table.

    Attributes:
        member: Description of the sender.
        after: Members with greater names are wanted, in the order of names.
    """

    member: Member
    after: str = ""


@message_codec.register("member-page")
@frozen
class MemberPage:
    """Answers `Join`.

    Attributes:
        member: Description of the sender.
        packed: Compressed descriptions in the order of names.
        last: Whether no member with a greater name is known.
    """

    member: Member
    packed: bytes
    last: bool


@message_codec.register("table-pull")
@frozen
class TablePull:
    """Asks for the members in which two tables differ.

    Attributes:
        member: Description of the sender.
        buckets: Digests of the sender's table.
        answer: Whether the receiver should ask back for what it lacks itself.
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
    """Tells at once that a member takes no new work, or has left.

    Attributes:
        member: Description of the member.
    """

    member: Member
