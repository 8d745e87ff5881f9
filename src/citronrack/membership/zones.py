"""Messages about whole zones, and what a node holds of another zone."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from ..distribution.progress import ZoneProgress
from ..transport.messages import message_codec
from .digests import BucketDigests, bucket_of
from .remote import MemberSummary

REPORTED_NAMES = 4  # these travel for all zones in each message
UNCONFIRMED_S = 10.0  # two relays of a zone may differ for some seconds


@frozen
class ZoneReport:
    """Progress of a zone as its root reported it.

    Attributes:
        lowest: Version in force on each node that was heard.
        covered: Number of nodes that were heard.
        total: Number of members.
        behind: Names of nodes below the highest version.
        exact: Whether the nodes that were heard are exactly the members.
        highest: Highest version that was reported.
        at_highest: Number of nodes that reported it.
        unheard: Names of members that were not heard.
    """

    lowest: int
    covered: int
    total: int
    behind: tuple[str, ...]
    exact: bool
    highest: int = -1
    at_highest: int = 0
    unreported: tuple[str, ...] = ()


def report_of(progress: ZoneProgress) -> ZoneReport:
    """Return the form in which a root tells the progress of its zone."""
    return ZoneReport(
        progress.lowest,
        progress.covered,
        progress.total,
        progress.behind[:REPORTED_NAMES],
        progress.exact,
        progress.highest,
        progress.at_highest,
        progress.unreported[:REPORTED_NAMES],
    )


def progress_of(
    availability_zone: str, report: ZoneReport, names: Sequence[str], age_s: float
) -> ZoneProgress:
    """Return the progress that a report means; members that it did not count are unknown.

    Args:
        availability_zone: The zone.
        report: What the zone's root said.
        names: Members that this node knows.
        age_s: Age of the report.
    """
    return ZoneProgress(
        availability_zone,
        report.lowest,
        report.covered,
        max(len(names), report.total),
        report.behind,
        report.exact and report.total >= len(names),
        age_s,
        report.highest,
        report.at_highest,
        report.unreported,
    )


@frozen
class ZoneState:
    """Short form of what a node knows of a zone.

    Attributes:
        availability_zone: The zone.
        digest: Digest of its members.
        age_ms: Milliseconds since a relay of the zone confirmed the digest.
        report: Progress of the zone, None when unknown.
        report_age_ms: Milliseconds since the zone reported it.
    """

    availability_zone: str
    digest: int
    age_ms: int
    report: ZoneReport | None = None
    report_age_ms: int = 0


@message_codec.register("zone-heard")
@frozen
class ZoneGossip:
    """What a node knows of all zones; sent between relays and down the tree.

    Attributes:
        availability_zone: Zone of the sender.
        states: One entry per zone that was heard lately.
        offset: Next offset that the sender folds.
        facts_digest: Digest of the sender's facts.
        answer: Whether the receiver should answer with the same message.
    """

    availability_zone: str
    states: tuple[ZoneState, ...]
    offset: int
    facts_digest: int
    answer: bool


@message_codec.register("zone-pull")
@frozen
class ZonePull:
    """Asks for the members of a zone in which two nodes differ."""

    availability_zone: str
    buckets: tuple[int, ...]


@message_codec.register("zone-summary")
@frozen
class ZoneSummary:
    """Members of a zone.

    Attributes:
        availability_zone: The zone.
        age_ms: Milliseconds since a relay of the zone confirmed this.
        buckets: Parts of the zone that are complete in this message; empty for a mere change.
        equal: Parts of the zone in which the receiver's digests were right.
        packed: Compressed `MemberSummary` entries.
    """

    availability_zone: str
    age_ms: int
    buckets: tuple[int, ...]
    equal: tuple[int, ...]
    packed: bytes


@define
class _Entry:
    summary: MemberSummary
    as_of: float


@define
class ZoneView:
    """The members of another zone.

    Attributes:
        as_of: Time at which a relay of the zone last confirmed the whole view.
        report: Progress of the zone.
        report_as_of: Time of that report.
    """

    as_of: float = float("-inf")
    report: ZoneReport | None = None
    report_as_of: float = float("-inf")
    digests: BucketDigests = field(factory=BucketDigests)
    _entries: dict[str, _Entry] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> list[tuple[MemberSummary, float]]:
        """Return each member with the time of its last confirmation."""
        return [(e.summary, max(e.as_of, self.as_of)) for e in self._entries.values()]

    def in_buckets(self, buckets: frozenset[int]) -> list[MemberSummary]:
        """Return the members of some parts."""
        return [e.summary for name, e in self._entries.items() if bucket_of(name) in buckets]

    def merge(self, summaries: Iterable[MemberSummary], as_of: float) -> list[MemberSummary]:
        """Take over newer descriptions and return those that changed something."""
        changed = []
        for summary in summaries:
            known = self._entries.get(summary.name)
            if known is None or summary.precedence > known.summary.precedence:
                self._store(summary, as_of)
                changed.append(summary)
            elif summary.precedence == known.summary.precedence:
                known.as_of = max(known.as_of, as_of)
        return changed

    def confirm(self, buckets: frozenset[int], as_of: float) -> None:
        """Note that the members of some parts were right at a time."""
        for name, entry in self._entries.items():
            if bucket_of(name) in buckets:
                entry.as_of = max(entry.as_of, as_of)

    def drop_missing(self, buckets: frozenset[int], names: frozenset[str], as_of: float) -> None:
        """Drop members that a complete description no longer lists."""
        for name, entry in list(self._entries.items()):
            if bucket_of(name) not in buckets or name in names:
                continue
            if max(entry.as_of, self.as_of) < as_of - UNCONFIRMED_S:
                self._remove(name)

    def drop_older(self, limit: float) -> None:
        """Drop gone members, and others that nobody has confirmed since ``limit``."""
        for summary, as_of in self.entries():
            if as_of < limit:
                self._remove(summary.name)

    def _store(self, summary: MemberSummary, as_of: float) -> None:
        self._remove(summary.name)
        self._entries[summary.name] = _Entry(summary, as_of)
        if not summary.gone:
            self.digests.toggle(summary.name, summary.incarnation)

    def _remove(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is not None and not entry.summary.gone:
            self.digests.toggle(name, entry.summary.incarnation)
