"""Messages that carry evidence from the counting nodes to the evaluating nodes of a zone."""

from __future__ import annotations

from attrs import frozen

from ..transport.messages import message_codec


@frozen
class CellCounts:
    """Counters of one bucket and side, see `Counts`; sent only after they have increased."""

    side: int
    bucket: int
    calls: int
    failures: int
    slow: int
    refused: int
    cold: int


@frozen
class MoveEvidence:
    """Evidence of one node about one move.

    Attributes:
        move: Id of the move, empty for routes without one.
        cells: Cells whose counters have increased since the last messages.
        reference_calls: Number of calls behind ``reference_us``, 0 for none.
        reference_us: Quantile of the old version's latency in microseconds.
    """

    move: str
    cells: tuple[CellCounts, ...]
    reference_calls: int = 0
    reference_us: int = 0


@message_codec.register("evidence")
@frozen
class EvidenceUpdate:
    """Cells of one node whose counters have increased since its last messages.

    Attributes:
        node: Name of the counting node.
        boot: Id of its process.
        moves: Evidence by move.
    """

    node: str
    boot: str
    moves: tuple[MoveEvidence, ...]
