"""Writing snapshots of the folded log, and finding the newest usable one."""

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
MAX_KNOWN_AGE_S = 6 * 3600.0  # once the retention was seen to be longer
RETRY_CAP_S = 60.0  # a snapshot is large and nothing waits for it
MAX_SNAPSHOTS_TRIED = 8  # snapshots that a start reads before it reports that none is usable


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
    """A snapshot that stands in its stream and is not announced yet."""

    through: int
    snapshot_offset: int


class SnapshotScheduler:
    """Decides when the holder of duty ``compactor`` takes a snapshot.

    Pure: it returns what to append and is told the result. A snapshot is due when there is none,
    when ``max_records`` records follow it, when its announcement has come into the older half of
    the retained records, or when half of the retention time has passed since. The last two keep a
    snapshot in the log even when no record is accepted any more.

    Args:
        clock: Source of time.
        random: Source of random numbers for backoff.
        max_records: Records after which a new snapshot is due.
        max_age_s: Age after which a new snapshot is due as long as the retention is not known, at
            most half of the shortest that is possible.

    Example:
        >>> from citronrack.clock import ManualClock
        >>> from citronrack.log import Envelope, LogFold, SeedList, encode_record
        >>> fold = LogFold()
        >>> _ = fold.apply(0, encode_record(Envelope("a/1", 1, 0, SeedList("zone-a", ()))))
        >>> keeper = SnapshotScheduler(clock=ManualClock(), random=Random(1))
        >>> keeper.on_tick(fold, term=1, first=0, end=1).through
        1
        >>> keeper.on_written(0)
        >>> keeper.on_tick(fold, term=1, first=0, end=1)
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
        """Take note of the folded log; call it after each batch of records, on every node."""
        if state.snapshot_announced != self._announced:
            self._announced = state.snapshot_announced
            self._folded_at = self._clock.monotonic()
        if self._unannounced is not None and state.snapshot_through >= self._unannounced.through:
            self._unannounced = None

    def on_tick(
        self, fold: LogFold, *, term: int | None, first: int, end: int
    ) -> WriteSnapshot | SnapshotTaken | None:
        """Return what to append now, if anything; call it on every node that reads the log.

        Args:
            fold: The folded log.
            term: Term of duty ``compactor`` under which this process may act, None when it may not.
            first: Oldest retained offset of the records stream.
            end: Offset that its next record will get.
        """
        self.on_state(fold.state)
        if end > 0:
            self._retention.observe(self._clock.monotonic(), first=first, end=end)
        waits = self._outstanding is not None or fold.next_offset <= self._awaited_offset
        if term is None or waits or self._clock.monotonic() < self._not_before:
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
        """Take note that the snapshot stands in the snapshots stream."""
        if self._outstanding is not None:
            self._unannounced = _UnannouncedSnapshot(self._outstanding, snapshot_offset)
        self._outstanding = None
        self._backoff.reset()

    def on_announced(self, offset: int) -> None:
        """Take note that the announcement stands in the records stream at ``offset``."""
        self._outstanding = None
        self._awaited_offset = offset
        self._backoff.reset()

    def on_failed(self) -> None:
        """Take note that the last append was refused or has an unknown result."""
        self._outstanding = None
        self._not_before = self._clock.monotonic() + self._backoff.next_s()

    def _is_due(self, state: FoldState, first: int, end: int) -> bool:
        if state.next_offset <= max(state.snapshot_through, 0):
            return False
        if state.snapshot_offset < 0:
            return True
        age_s = self._clock.monotonic() - self._folded_at
        # Also before anything was trimmed: a burst may trim the first records at any moment, and
        # doubling costs only about ten small snapshots until `max_records` takes over.
        in_older_half = state.snapshot_announced < first + (end - first) // 2
        grown = state.next_offset - state.snapshot_through
        return grown >= self._max_records or in_older_half or age_s >= self._longest_age_s()

    def _longest_age_s(self) -> float:
        retention_s = self._retention.retention_s
        if retention_s is None:
            return self._max_age_s
        return min(MAX_KNOWN_AGE_S, retention_s / 2)


@frozen
class LoadedSnapshot:
    """A usable snapshot.

    Attributes:
        through: Offset at which folding continues.
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
        SnapshotMissing: When none of the newest snapshots is usable; the text says why.
        LogUnavailable: When the log did not answer.
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
    """Return the first retained snapshot; its page also tells the end of the stream."""
    try:
        return client.read(SNAPSHOTS_STREAM, 0, limit=1, wait_ms=0)
    except LogTrimmed as error:
        return client.read(SNAPSHOTS_STREAM, error.first, limit=1, wait_ms=0)


def _read_one(client: LogClient, offset: int, oldest: LogPage) -> bytes | None:
    """Return the snapshot at ``offset``, None when it was trimmed meanwhile."""
    try:
        page = oldest
        if offset > oldest.first:
            page = client.read(SNAPSHOTS_STREAM, offset, limit=1, wait_ms=0)
    except LogTrimmed:
        return None
    return page.records[0][1] if page.records else None
