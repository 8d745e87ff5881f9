"""Messages that carry log records and facts between nodes."""

from __future__ import annotations

from attrs import frozen

from ..transport.messages import message_codec
from .facts import Fact


@message_codec.register("push")
@frozen
class PushRecords:
    """New records, sent down the tree.

    Attributes:
        first_offset: Offset of the first record; the others follow contiguously.
        records: Bytes of the records.
        origin: Name of the node at the root of the tree.
    """

    first_offset: int
    records: tuple[bytes, ...]
    origin: str


@message_codec.register("pull")
@frozen
class PullRecords:
    """Requests the records from an offset on."""

    from_offset: int


@message_codec.register("page")
@frozen
class RecordsPage:
    """Answers `PullRecords`.

    Attributes:
        first_offset: Offset of the first record.
        records: Bytes of the records.
        end: Next offset to fold on the sender.
    """

    first_offset: int
    records: tuple[bytes, ...]
    end: int


@message_codec.register("snapshot-pull")
@frozen
class PullSnapshot:
    """Requests one part of a snapshot.

    Attributes:
        through: Offset at which the snapshot ends.
        index: Number of the part.
    """

    through: int
    index: int


@message_codec.register("snapshot")
@frozen
class SnapshotPage:
    """One part of a snapshot; answers `PullSnapshot`, or `PullRecords` for trimmed records.

    Attributes:
        through: Next offset after the snapshot.
        index: Number of this part.
        count: Number of parts.
        data: Bytes of this part.
    """

    through: int
    index: int
    count: int
    data: bytes


@message_codec.register("facts-pull")
@frozen
class PullFacts:
    """Requests the facts in the differing buckets of two stores.

    Attributes:
        buckets: Digest of each bucket of the sender's store.
    """

    buckets: tuple[int, ...]


@message_codec.register("facts")
@frozen
class FactsDelta:
    """Facts that may be new to the receiver.

    Attributes:
        facts: The facts.
        origin: Root of the tree for urgent facts, empty for answers to `PullFacts`.
    """

    facts: tuple[Fact, ...]
    origin: str = ""
