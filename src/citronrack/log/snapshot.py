"""Scheduling of snapshots of the folded log, and loading of the newest usable one."""

from __future__ import annotations

from random import Random

from attrs import frozen

from ..backoff import Backoff
from ..clock import Clock
from ..errors import LogTrimmed, MessageRejected, SnapshotMissing
from ._retention import RetentionEstimator
from ._snapshot_format import unpack_state
from .client import LogClient, LogPage
from .fold import LogFold
from .records import SNAPSHOTS_STREAM, SnapshotTaken
from .state import FoldState

MAX_RECORDS = 2_000
MAX_AGE_S = 3600.0  # at most half of the shortest retention time that a log may have
MAX_KNOWN_AGE_S = 6 * 3600.0  # once the retention time is known to be longer
RETRY_CAP_S = 60.0  # a snapshot is large and not urgent
MAX_SNAPSHOTS_TRIED = 8  # by a starting node before it reports that none is usable


@frozen
class WriteSnapshot:
    """A snapshot should be appended to the snapshots stream.

    Attributes:
        through: Offset below which the snapshot covers everything.
        data: Its bytes.
    """

    through: int
    data: bytes


@frozen
class _UnannouncedSnapshot:
    """A snapshot that is in its stream but not yet announced in the records stream."""

    through: int
    snapshot_offset: int


class SnapshotScheduler:
    """Decides when the holder of duty ``compactor`` takes a snapshot.

    Performs no I/O: it returns what to append, and its caller reports the result. A snapshot is due
    when there is none, when ``max_records`` records follow the last one, when its announcement is
    in the older half of the retained records, or when half of the retention time has passed since
    then. The last two conditions keep a snapshot in the log even if no record is accepted any more.

    Args:
        clock: Source of time.
        random: Source of random numbers for backoff.
        max_records: Records after which a new snapshot is due.
        max_age_s: Age after which a new snapshot is due while the retention time is unknown, at
            most half of the shortest possible one.

    Example:
        >>> from citronrack.clock import ManualClock
        >>> from citronrack.log import Envelope, LogFold, SeedList, encode_record
        >>> fold = LogFold()
        >>> _ = fold.apply(0, encode_record(Envelope("a/1", 1, 0, SeedList("zone-a", ()))))
        >>> scheduler = SnapshotScheduler(clock=ManualClock(), random=Random(1))
        >>> scheduler.on_tick(fold, term=1, first=0, end=1).through
        1
        >>> scheduler.on_written(0)
        >>> scheduler.on_tick(fold, term=1, first=0, end=1)
        SnapshotTaken(duty_term=1, through=1, snapshot_offset=0)
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        max_records: int = MAX_RECORDS,
        max_age_s: float = MAX_AGE_S,
    ) -> None:
        self._clock = clock
        self._max_records = max_records
        self._max_age_s = max_age_s
        self._retention = RetentionEstimator()
        self._backoff = Backoff(random=random, cap_s=RETRY_CAP_S)
        self._announced = -1
        self._folded_at = clock.monotonic()
        self._outstanding: int | None = None
        self._unannounced: _UnannouncedSnapshot | None = None
        self._awaited_offset = -1
        self._not_before = clock.monotonic()

    def on_state(self, state: FoldState) -> None:
        """Apply the folded log; to be called after each batch of records, on every node."""
        if state.snapshot_announced != self._announced:
            self._announced = state.snapshot_announced
            self._folded_at = self._clock.monotonic()
        if self._unannounced is not None and state.snapshot_through >= self._unannounced.through:
            self._unannounced = None

    def on_tick(
        self, fold: LogFold, *, term: int | None, first: int, end: int
    ) -> WriteSnapshot | SnapshotTaken | None:
        """Return what to append now, if anything; to be called on every node that reads the log.

        Args:
            fold: The folded log.
            term: Term of duty ``compactor`` under which this process may act, None when it may not.
            first: Oldest retained offset of the records stream.
            end: Offset of its next record.
        """
        self.on_state(fold.state)
        if end > 0:
            self._retention.observe(self._clock.monotonic(), first=first, end=end)
        is_waiting = self._outstanding is not None or fold.next_offset <= self._awaited_offset
        if term is None or is_waiting or self._clock.monotonic() < self._not_before:
            return None
        if self._unannounced is not None and self._unannounced.through >= first:
            self._outstanding = self._unannounced.through
            return SnapshotTaken(term, self._unannounced.through, self._unannounced.snapshot_offset)
        if not self._is_due(fold.state, first, end):
            return None
        self._unannounced = None
        self._outstanding = fold.next_offset
        return WriteSnapshot(fold.next_offset, fold.to_snapshot())

    def on_written(self, snapshot_offset: int) -> None:
        """Handle the append of the snapshot at ``snapshot_offset`` of the snapshots stream."""
        if self._outstanding is not None:
            self._unannounced = _UnannouncedSnapshot(self._outstanding, snapshot_offset)
        self._outstanding = None
        self._backoff.reset()

    def on_announced(self, offset: int) -> None:
        """Handle the append of the announcement at ``offset`` of the records stream."""
        self._outstanding = None
        self._awaited_offset = offset
        self._backoff.reset()

    def on_failed(self) -> None:
        """Handle an append that was refused or has an unknown result."""
        self._outstanding = None
        self._not_before = self._clock.monotonic() + self._backoff.next_s()

    def _is_due(self, state: FoldState, first: int, end: int) -> bool:
        if state.next_offset <= max(state.snapshot_through, 0):
            return False
        if state.snapshot_offset < 0:
            return True
        age_s = self._clock.monotonic() - self._folded_at
        # Applies before any record is trimmed too: a burst may cause the first trim at any time. A
        # snapshot is then due each time the log has doubled in length, which costs only about ten
        # small snapshots until `max_records` takes effect.
        in_older_half = state.snapshot_announced < first + (end - first) // 2
        records = state.next_offset - state.snapshot_through
        return records >= self._max_records or in_older_half or age_s >= self._longest_age_s()

    def _longest_age_s(self) -> float:
        retention_s = self._retention.retention_s
        if retention_s is None:
            return self._max_age_s
        return min(MAX_KNOWN_AGE_S, retention_s / 2)


@frozen
class LoadedSnapshot:
    """A usable snapshot.

    Attributes:
        through: Offset from which folding continues.
        data: Bytes for `LogFold.from_snapshot`.
    """

    through: int
    data: bytes


def load_snapshot(client: LogClient, *, first: int) -> LoadedSnapshot:
    """Return the newest snapshot after which all records are still retained.

    Args:
        client: Access to the log.
        first: Oldest retained offset of the records stream.

    Raises:
        SnapshotMissing: When none of the newest snapshots is usable; the text gives the reasons.
        LogUnavailable: When the log did not respond.
    """
    faults: list[str] = []
    oldest = _first_page(client)
    for offset in range(
        oldest.end - 1, max(oldest.first, oldest.end - MAX_SNAPSHOTS_TRIED) - 1, -1
    ):
        data = _read_one(client, offset, oldest)
        if data is None:
            break
        try:
            through = unpack_state(data).next_offset
        except MessageRejected as error:
            faults.append(f"snapshot {offset}: {error.reason}")
            continue
        if through >= first:
            return LoadedSnapshot(through, data)
        faults.append(f"snapshot {offset}: ends at offset {through}")
    reasons = "; ".join(faults) if faults else "the snapshots stream is empty"
    raise SnapshotMissing(
        f"records below offset {first} are trimmed and no usable snapshot exists ({reasons})"
    )


def _first_page(client: LogClient) -> LogPage:
    """Return the page of the first retained snapshot; it also contains the end of the stream."""
    try:
        return client.read(SNAPSHOTS_STREAM, 0, limit=1, wait_ms=0)
    except LogTrimmed as error:
        return client.read(SNAPSHOTS_STREAM, error.first, limit=1, wait_ms=0)


def _read_one(client: LogClient, offset: int, oldest: LogPage) -> bytes | None:
    """Return the snapshot at ``offset``, None when it has been trimmed meanwhile."""
    try:
        page = oldest
        if offset > oldest.first:
            page = client.read(SNAPSHOTS_STREAM, offset, limit=1, wait_ms=0)
    except LogTrimmed:
        return None
    return page.records[0][1] if page.records else None
