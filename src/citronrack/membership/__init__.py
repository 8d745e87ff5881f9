"""Which nodes exist, as far as this node knows."""

from __future__ import annotations

from .detector import FailureDetector
from .directory import ZoneDirectory
from .known import KnownMember, MemberSummary
from .member import Member, MemberState
from .table import MemberTable

__all__ = [
    "FailureDetector",
    "KnownMember",
    "Member",
    "MemberState",
    "MemberSummary",
    "MemberTable",
    "ZoneDirectory",
]
