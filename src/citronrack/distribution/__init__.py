"""Which node reads the log, and how records reach all others."""

from __future__ import annotations

from .core import DistributionCore, ReaderRole
from .ranking import ranking

__all__ = ["DistributionCore", "ReaderRole", "ranking"]
