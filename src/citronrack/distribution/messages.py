"""Messages that carry log records between nodes."""

from __future__ import annotations

from attrs import frozen

from ..transport.messages import message_codec


@message_codec.register("push")
@frozen
class PushRecords:
    """New records, sent down the tree.

    Attributes:
        first_offset: Offset of the first record; the others follow without gaps.
        records: Bytes of the records.
        origin: Name of the reader at the root of the tree.
    """

    first_offset: int
    records: tuple[bytes, ...]
    origin: str


@message_codec.register("pull")
@frozen
class PullRecords:
    """Asks for the records from an offset on."""

    from_offset: int


@message_codec.register("page")
@frozen
class RecordsPage:
    """Answers `PullRecords`.

    Attributes:
        first_offset: Offset of the first record.
        records: Bytes of the records.
        end: Next offset that the sender folds.
    """

    first_offset: int
    records: tuple[bytes, ...]
    end: int
