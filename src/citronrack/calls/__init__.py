"""The call path: HTTP in and out, choice of target, limits, retries and drain."""

from __future__ import annotations

from .record import CallRecord
from .view import PoolTarget, RouteShare, RoutingView, ViewHolder

__all__ = ["CallRecord", "PoolTarget", "RouteShare", "RoutingView", "ViewHolder"]
