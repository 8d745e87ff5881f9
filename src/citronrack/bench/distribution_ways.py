"""Distribution algorithms for comparison."""

from __future__ import annotations

from collections.abc import Sequence

from ..distribution import DistributionCore, ReaderRole
from ..distribution.messages import PushRecords
from ..distribution.store import pages
from ..registry import Registry
from ..transport.send import Send

WAYS: Registry[type[DistributionCore]] = Registry("way of distribution")

WAYS.register("tree")(DistributionCore)


@WAYS.register("log-each")
class EachReadsLog(DistributionCore):
    """Every node reads the log; records are not pushed, but still repaired by pings."""

    @property
    def role(self) -> ReaderRole:
        """Every node reads."""
        return ReaderRole.PRIMARY

    def _push(self, first: int, records: Sequence[bytes], origin: str) -> list[Send]:
        return []

    def _forward(self, message: PushRecords, sender: str) -> list[Send]:
        return []


@WAYS.register("fixed-relays")
class FixedRelays(DistributionCore):
    """The readers of each zone push records to all of its members directly."""

    def _push(self, first: int, records: Sequence[bytes], origin: str) -> list[Send]:
        others = [member for member in self.tree.ranking if member.name != origin]
        return [
            Send(member.address, PushRecords(start, page, origin))
            for start, page in pages(first, records)
            for member in others
        ]

    def _forward(self, message: PushRecords, sender: str) -> list[Send]:
        return []
