"""Distribution of log records and facts to all nodes, and the choice of log readers."""

from __future__ import annotations

from .core import DistributionCore, FoldView
from .facts import Fact, FactStore
from .progress import ZoneProgress
from .ranking import ranking
from .reading import ReaderRole
from .store import RecordStore

__all__ = [
    "DistributionCore",
    "Fact",
    "FactStore",
    "FoldView",
    "ReaderRole",
    "RecordStore",
    "ZoneProgress",
    "ranking",
]
