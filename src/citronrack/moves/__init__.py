"""Intents, plans, and the shift of traffic between service versions."""

from __future__ import annotations

from .around import MoveSurroundings
from .capacity import Capacity
from .core import MoveCore
from .evidence import EvidenceCell
from .intent import Intent, MoveIntent
from .outcome import Outcome
from .plan import Plan, make_plan
from .policy import Policy, profiles
from .sequential import SequentialTest
from .share import picks_new, share_of
from .status import MoveNotice, MoveStatus

__all__ = [
    "Capacity",
    "EvidenceCell",
    "Intent",
    "MoveCore",
    "MoveIntent",
    "MoveNotice",
    "MoveStatus",
    "MoveSurroundings",
    "Outcome",
    "Plan",
    "Policy",
    "SequentialTest",
    "make_plan",
    "picks_new",
    "profiles",
    "share_of",
]
