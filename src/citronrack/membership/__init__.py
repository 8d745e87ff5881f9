"""Which nodes exist, as far as this node knows."""

from __future__ import annotations

from .detector import FailureDetector
from .member import Member, MemberState
from .table import MemberTable

__all__ = ["FailureDetector", "Member", "MemberState", "MemberTable"]
