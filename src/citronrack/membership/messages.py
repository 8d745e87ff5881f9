"""Messages of failure detection."""

from __future__ import annotations

from attrs import frozen

from ..transport.messages import message_codec
from .member import Member


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
    """

    sequence: int
    member: Member
    updates: tuple[Member, ...]
    offset: int
    facts_digest: int


@message_codec.register("ack")
@frozen
class Ack:
    """Answers a `Ping` with the same fields."""

    sequence: int
    member: Member
    updates: tuple[Member, ...]
    offset: int
    facts_digest: int
