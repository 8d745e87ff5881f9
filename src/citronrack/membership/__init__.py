"""Which nodes exist, as far as this node knows."""

from __future__ import annotations

from .detector import FailureDetector
from .directory import ZoneDirectory
from .member import Member, MemberState
from .remote import MemberSummary, RemoteMember
from .table import MemberTable

__all__ = [
    "FailureDetector",
    "Member",
    "MemberState",
    "MemberSummary",
    "MemberTable",
    "RemoteMember",
    "ZoneDirectory",
]
