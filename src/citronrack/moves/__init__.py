"""Intents, plans, and the shift of traffic between service versions."""

from __future__ import annotations

from .capacity import Capacity
from .core import MoveCore
from .dependencies import MoveDependencies
from .evidence import EvidenceCell
from .intent import Intent, MoveIntent
from .outcome import OutcomeDecider
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
    "MoveDependencies",
    "MoveIntent",
    "MoveNotice",
    "MoveStatus",
    "OutcomeDecider",
    "Plan",
    "Policy",
    "SequentialTest",
    "make_plan",
    "picks_new",
    "profiles",
    "share_of",
]
