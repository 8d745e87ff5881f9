"""Intents, plans, and the shift of traffic between service versions."""

from __future__ import annotations

from .intent import Intent, MoveIntent
from .plan import Plan, make_plan

__all__ = ["Intent", "MoveIntent", "Plan", "make_plan"]
