"""The call path: HTTP server and client, load balancing, admission, retries and drain."""

from __future__ import annotations

from .admission import Admission
from .balancer import Balancer
from .budget import RetryBudgets
from .context import CallContext, ContextCodec
from .delivery import TargetDelivery
from .drain import Drainer
from .message import IterableBody, Request, Response, WholeBody
from .record import CallRecord
from .router import Router
from .server import CallServer
from .split import picks_new
from .upstream import Upstream
from .view import PoolTarget, RouteIndex, RouteShare, RoutingView, ViewHolder

__all__ = [
    "Admission",
    "Balancer",
    "CallContext",
    "CallRecord",
    "CallServer",
    "ContextCodec",
    "Drainer",
    "IterableBody",
    "PoolTarget",
    "Request",
    "Response",
    "RetryBudgets",
    "RouteIndex",
    "RouteShare",
    "Router",
    "RoutingView",
    "TargetDelivery",
    "Upstream",
    "ViewHolder",
    "WholeBody",
    "picks_new",
]
