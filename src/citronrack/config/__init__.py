"""The configuration model, its validation and changes of it."""

from __future__ import annotations

from .active import ActiveConfig
from .change import Change, apply_change, withdraw_move
from .keys import KeyDigester, KeyIndex
from .model import ConfigSet, Move, Route, Service, ServiceVersion, Step, Workspace
from .validate import find_faults

__all__ = [
    "ActiveConfig",
    "Change",
    "ConfigSet",
    "KeyDigester",
    "KeyIndex",
    "Move",
    "Route",
    "Service",
    "ServiceVersion",
    "Step",
    "Workspace",
    "apply_change",
    "find_faults",
    "withdraw_move",
]
