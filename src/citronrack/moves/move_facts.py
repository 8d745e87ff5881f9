"""What is known about moves from facts and from the folded log."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from attrs import define

from ..clock import Clock
from ..codec import decode, encode
from ..config import Move
from ..errors import MessageRejected
from ..log.fold import FoldState, mark_key
from ..log.records import Marked
from .facts import (
    MARK_PREFIX,
    REFERENCE_PREFIX,
    ZONE_PREFIX,
    Facts,
    SlowReference,
    ZoneProgress,
    epoch_of,
    mark_fact_key,
    mark_rank,
    move_tag,
)

_KINDS: dict[str, type[Any]] = {
    MARK_PREFIX: Marked,
    ZONE_PREFIX: ZoneProgress,
    REFERENCE_PREFIX: SlowReference,
}


@define
class KnownMark:
    """A mark and when this node learned of it, on its monotonic clock."""

    mark: Marked
    since_s: float


class MoveFacts:
    """Reads and writes the facts about moves.

    Args:
        facts: Spreads facts between nodes.
        clock: Source of time.
    """

    def __init__(self, facts: Facts, clock: Clock) -> None:
        self._facts = facts
        self._clock = clock
        self._ranks: dict[str, int] = {}
        self._marks: dict[str, KnownMark] = {}
        self._progress: dict[str, dict[str, ZoneProgress]] = {}  # by tag and zone
        self._references: dict[str, SlowReference] = {}
        self._open: frozenset[str] = frozenset()
        self._newest = -1
        self._folded_marks: frozenset[str] = frozenset()

    @property
    def marks(self) -> tuple[Marked, ...]:
        """All known marks."""
        return tuple(known.mark for known in self._marks.values())

    def refresh(self) -> None:
        """Take in new facts; one that cannot be decoded is ignored."""
        present = set()
        for fact in self._facts.items():
            present.add(fact.key)
            if self._ranks.get(fact.key, -1) >= fact.rank:
                continue
            prefix = fact.key.split("/", 1)[0] + "/"
            if prefix not in _KINDS:
                continue
            self._ranks[fact.key] = fact.rank
            try:
                self._take(decode(fact.payload, _KINDS[prefix]))
            except MessageRejected:
                continue
        if len(self._ranks) > len(present):
            self._ranks = {key: rank for key, rank in self._ranks.items() if key in present}

    def on_state(self, state: FoldState) -> None:
        """Take in the marks of the folded log, and forget what belongs to decided moves."""
        for mark in state.marks.values():
            self._take(mark)
        self._open = frozenset(move_tag(move) for move in state.config.moves.values())
        self._newest = state.config.version
        self._folded_marks = frozenset(MARK_PREFIX + key for key in state.marks)
        self._progress = {t: p for t, p in self._progress.items() if self._is_current(t)}
        self._references = {k: r for k, r in self._references.items() if self._is_current(r.tag)}

    def stale_facts(self) -> list[str]:
        """Return the keys of facts that nobody needs any more.

        These are marks that the folded log contains, and what belongs to decided moves.
        """
        return [fact.key for fact in self._facts.items() if self._is_stale(fact.key)]

    def put_mark(self, mark: Marked) -> None:
        """Publish a mark."""
        self._take(mark)
        self._facts.put(mark_fact_key(mark), mark_rank(mark), encode(mark))

    def put_progress(self, progress: ZoneProgress) -> None:
        """Publish the own zone's progress."""
        self._take(progress)
        self._facts.put(progress.key, progress.rank, encode(progress))

    def put_reference(self, reference: SlowReference) -> None:
        """Publish the own zone's reference for slow calls."""
        self._take(reference)
        self._facts.put(reference.key, reference.rank, encode(reference))

    def mark_of(self, move: Move, service: str) -> KnownMark | None:
        """Return the mark that ends a move, if there is one.

        A mark counts for moves of the same epoch and of earlier ones; a later intent is a new try.
        """
        for known in self._marks.values():
            mark = known.mark
            same = (mark.service, mark.service_version) == (service, move.to_version)
            if same and mark.epoch >= move.epoch:
                return known
        return None

    def progress_of(self, move: Move) -> Mapping[str, ZoneProgress]:
        """Return the last report of each zone on a move."""
        return self._progress.get(move_tag(move), {})

    def reference_of(self, move: Move, availability_zone: str) -> SlowReference | None:
        """Return a zone's reference for slow calls, if it has one."""
        return self._references.get(f"{REFERENCE_PREFIX}{move_tag(move)}/{availability_zone}")

    def _is_current(self, tag: str) -> bool:
        """Whether a move is open; a fact may arrive before the record that opens its move."""
        return tag in self._open or epoch_of(tag) > self._newest

    def _is_stale(self, key: str) -> bool:
        if key.startswith(MARK_PREFIX):
            return key in self._folded_marks
        if key.startswith((ZONE_PREFIX, REFERENCE_PREFIX)):
            tag = key.split("/", 1)[1].rpartition("/")[0]
            return not self._is_current(tag)
        return False

    def _take(self, body: Any) -> None:
        if isinstance(body, Marked):
            key = mark_key(body.service, body.service_version, body.epoch)
            known = self._marks.get(key)
            if known is None:
                self._marks[key] = KnownMark(body, self._clock.monotonic())
            elif mark_rank(body) > mark_rank(known.mark):
                known.mark = body
        elif isinstance(body, ZoneProgress):
            self._keep_greater(
                self._progress.setdefault(body.tag, {}), body.availability_zone, body
            )
        elif isinstance(body, SlowReference):
            self._keep_greater(self._references, body.key, body)

    @staticmethod
    def _keep_greater(entries: dict[str, Any], key: str, body: Any) -> None:
        known = entries.get(key)
        if known is None or body.rank > known.rank:
            entries[key] = body
