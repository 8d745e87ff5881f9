"""Validated settings of a node."""

from __future__ import annotations

from .load import load_settings
from .model import (
    ApiSettings,
    CallSettings,
    LogServiceSettings,
    MeshSettings,
    NodeSettings,
    Settings,
    TargetSettings,
    TelemetrySettings,
)

__all__ = [
    "ApiSettings",
    "CallSettings",
    "LogServiceSettings",
    "MeshSettings",
    "NodeSettings",
    "Settings",
    "TargetSettings",
    "TelemetrySettings",
    "load_settings",
]
