"""Evidence on its way from the counting nodes to the judging nodes of a zone."""

from __future__ import annotations

from attrs import frozen

from ..transport.messages import message_codec


@frozen
class CellCounts:
    """Counters of one bucket and side, see `Counts`; only grown ones are sent."""

    side: int
    bucket: int
    calls: int
    failures: int
    slow: int
    refused: int
    cold: int


@frozen
class MoveEvidence:
    """What a node counted for one move.

    Attributes:
        move: Id of the move, empty for routes without one.
        cells: Cells that have grown lately.
        reference_calls: Calls behind ``reference_us``, 0 for none.
        reference_us: Quantile of the old version's latency in microseconds.
    """

    move: str
    cells: tuple[CellCounts, ...]
    reference_calls: int = 0
    reference_us: int = 0


@message_codec.register("evidence")
@frozen
class EvidenceUpdate:
    """Cells of one node that have grown since its last messages.

    Attributes:
        node: Name of the counting node.
        boot: Id of its process.
        moves: Evidence by move.
    """

    node: str
    boot: str
    moves: tuple[MoveEvidence, ...]
