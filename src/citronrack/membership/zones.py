"""Messages about zones, and the view of another zone."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from ..distribution.progress import ZoneProgress
from ..transport.messages import message_codec
from .digests import BucketDigests, bucket_of
from .remote import MemberSummary

REPORTED_NAMES = 4  # each message carries these names for all zones
UNCONFIRMED_S = 10.0  # two relays of a zone may differ for some seconds


@frozen
class ZoneReport:
    """Progress of a zone, as reported by the root of its tree.

    Attributes:
        lowest: Lowest version reported by a node.
        covered: Number of nodes that reported.
        total: Number of members.
        behind: Names of nodes below the highest version.
        exact: Whether exactly the members have reported.
        highest: Highest version reported by a node.
        at_highest: Number of nodes that reported it.
        unreported: Names of members that have not reported.
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
    """Return the report that the root sends to other zones."""
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
    """Return the progress of a zone; known members that the report does not count are unknown.

    Args:
        availability_zone: The zone.
        report: Report of the zone's root.
        names: Members known to this node.
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
    """Digest and progress of a zone, as known to the sender.

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
    """States of all zones known to the sender; sent between relays and down the tree.

    Attributes:
        availability_zone: Zone of the sender.
        states: One entry per zone with a recent state.
        offset: Next offset to fold on the sender.
        facts_digest: Digest of the sender's facts.
        answer: Whether the receiver should reply with its own states.
    """

    availability_zone: str
    states: tuple[ZoneState, ...]
    offset: int
    facts_digest: int
    answer: bool


@message_codec.register("zone-pull")
@frozen
class ZonePull:
    """Requests the members in the buckets of a zone that differ between two nodes."""

    availability_zone: str
    buckets: tuple[int, ...]


@message_codec.register("zone-summary")
@frozen
class ZoneSummary:
    """Members of a zone.

    Attributes:
        availability_zone: The zone.
        age_ms: Milliseconds since a relay of the zone confirmed this.
        buckets: Buckets that are complete in this message, empty for an incremental update.
        equal: Buckets in which the digests of sender and receiver are equal.
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
        """Return the members in some buckets."""
        return [e.summary for name, e in self._entries.items() if bucket_of(name) in buckets]

    def merge(self, summaries: Iterable[MemberSummary], as_of: float) -> list[MemberSummary]:
        """Merge newer summaries and return those that changed the view."""
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
        """Record that the members in some buckets were current at ``as_of``."""
        for name, entry in self._entries.items():
            if bucket_of(name) in buckets:
                entry.as_of = max(entry.as_of, as_of)

    def drop_missing(self, buckets: frozenset[int], names: frozenset[str], as_of: float) -> None:
        """Drop members of complete buckets that are no longer listed in them."""
        for name, entry in list(self._entries.items()):
            if bucket_of(name) not in buckets or name in names:
                continue
            if max(entry.as_of, self.as_of) < as_of - UNCONFIRMED_S:
                self._remove(name)

    def drop_older(self, limit: float) -> None:
        """Drop members, gone ones included, that were last confirmed before ``limit``."""
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
