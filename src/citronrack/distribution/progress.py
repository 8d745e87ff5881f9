"""How far a zone is with a configuration version."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import lru_cache

import xxhash
from attrs import frozen

from ..clock import Clock
from ..transport.messages import message_codec
from ..transport.send import Send
from .tree import Tree

MAX_NAMES = 8
REPORT_INTERVAL_S = 1.0
REPEAT_INTERVAL_S = 10.0
REPORT_LIFETIME_S = 25.0  # two repeats may be lost


@message_codec.register("progress")
@frozen
class Progress:
    """Report of a subtree to its parent.

    Attributes:
        name: Sender, the root of the subtree.
        lowest: Lowest version in the subtree.
        highest: Highest version in the subtree.
        covered: Number of nodes that this covers.
        covers: Exclusive-or of the hashes of their names.
        behind: Up to 8 names of nodes below the highest version.
        at_highest: Number of nodes at the highest version.
        unheard: Up to 8 names of nodes that have not reported.
    """

    name: str
    lowest: int
    highest: int
    covered: int
    covers: int
    behind: tuple[str, ...]
    at_highest: int = 0
    unreported: tuple[str, ...] = ()


@frozen
class ZoneProgress:
    """What is known about the versions in a zone.

    Attributes:
        availability_zone: The zone.
        lowest: Version in force on each node that was heard.
        covered: Number of nodes that were heard.
        total: Number of members.
        behind: Up to 8 names of nodes that are below the highest version.
        exact: Whether the nodes that were heard are exactly the members.
        age_s: Seconds since the zone reported.
        highest: Highest version that a node of the zone reported.
        at_highest: Number of nodes that reported it.
        unheard: Up to 8 names of members that were not heard.
    """

    availability_zone: str
    lowest: int
    covered: int
    total: int
    behind: tuple[str, ...]
    exact: bool
    age_s: float = 0.0
    highest: int = -1
    at_highest: int = 0
    unreported: tuple[str, ...] = ()

    @property
    def unknown(self) -> int:
        """Number of members that were not heard; at least 1 unless all were."""
        return 0 if self.exact else max(1, self.total - self.covered)

    def in_force(self, version: int) -> bool:
        """Return whether each member reported at least ``version``."""
        return self.exact and self.total > 0 and self.lowest >= version

    def count_in_force(self, version: int) -> int:
        """Return the number of nodes that reported at least ``version``; never more than did."""
        if self.lowest >= version:
            return self.covered
        return self.at_highest if self.highest >= version else 0


@lru_cache(maxsize=8192)
def _name_hash(name: str) -> int:
    return int(xxhash.xxh64_intdigest(name.encode()))


def _covers(names: Iterable[str]) -> int:
    result = 0
    for name in names:
        result ^= _name_hash(name)
    return result


class ProgressReporter:
    """Collects the reports of the children and reports to the parent.

    Args:
        own: Name of this node.
        clock: Source of time.
        tree: Tree of the own zone.
        version: Returns the version in force on this node.
    """

    def __init__(self, *, own: str, clock: Clock, tree: Tree, version: Callable[[], int]) -> None:
        self._own = own
        self._clock = clock
        self._tree = tree
        self._version = version
        self._reports: dict[str, tuple[Progress, float]] = {}
        self._next_report = 0.0
        self._next_repeat = 0.0
        self._sent: tuple[str, Progress] | None = None

    def take(self, report: Progress) -> None:
        """Keep the report of a child."""
        self._reports[report.name] = report, self._clock.monotonic()

    def on_tick(self) -> list[Send]:
        """Report to the parent when something has changed, and now and then."""
        now = self._clock.monotonic()
        if now < self._next_report:
            return []
        self._next_report = now + REPORT_INTERVAL_S
        self._drop_old(now)
        parent = self._tree.parent()
        if parent is None:
            return []
        report = self._collect()
        if self._sent == (parent.name, report) and now < self._next_repeat:
            return []
        self._sent = parent.name, report
        self._next_repeat = now + REPEAT_INTERVAL_S
        return [Send(parent.address, report)]

    def zone(self, availability_zone: str) -> ZoneProgress:
        """Return the progress of the own zone; only the root of the tree has heard all of it."""
        self._drop_old(self._clock.monotonic())
        report = self._collect()
        names = [member.name for member in self._tree.ranking]
        exact = report.covers == _covers(names) and report.covered == len(names)
        return ZoneProgress(
            availability_zone,
            report.lowest,
            report.covered,
            len(names),
            report.behind,
            exact,
            highest=report.highest,
            at_highest=report.at_highest,
            unreported=report.unreported,
        )

    def _drop_old(self, now: float) -> None:
        self._reports = {
            name: entry
            for name, entry in self._reports.items()
            if now - entry[1] < REPORT_LIFETIME_S
        }

    def _collect(self) -> Progress:
        children = [child.name for child in self._tree.children()]
        unreported = [name for name in children if name not in self._reports]
        reports = [self._reports[name][0] for name in children if name in self._reports]
        own = self._version()
        highest = max([own, *(report.highest for report in reports)])
        behind = [self._own] if own < highest else []
        at_highest = 1 if own == highest else 0
        for report in reports:
            unreported += report.unreported
            at_highest += report.at_highest if report.highest == highest else 0
            behind += report.behind
            if report.highest < highest:
                behind.append(report.name)
        covers = _name_hash(self._own)
        for report in reports:
            covers ^= report.covers
        return Progress(
            self._own,
            min([own, *(report.lowest for report in reports)]),
            highest,
            1 + sum(report.covered for report in reports),
            covers,
            tuple(dict.fromkeys(behind))[:MAX_NAMES],
            at_highest,
            tuple(dict.fromkeys(unreported))[:MAX_NAMES],
        )
