"""Log events and metrics."""

from __future__ import annotations

from .events import EVENTS, Event, EventInfo
from .logs import EventLog
from .metrics import Metrics

__all__ = ["EVENTS", "Event", "EventInfo", "EventLog", "Metrics"]
