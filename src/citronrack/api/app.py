"""WSGI application of the intent API."""

from __future__ import annotations

import hmac
import json
import threading
from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ..clock import Clock
from ..errors import ConfigInvalid, PlanConflict, PlanExpired, Unauthorized
from ..moves import Intent, Plan
from ..plain import PlainFormatError, from_plain, to_plain
from ..telemetry import Event, EventLog
from . import commands, queries
from .gateway import NodeGateway

MAX_BODY_BYTES = 256 * 1024
BURST_S = 2.0

_URLS = Map(
    [
        Rule("/healthz", endpoint="health", methods=["GET"]),
        Rule("/readyz", endpoint="readiness", methods=["GET"]),
        Rule("/v1/status", endpoint="status", methods=["GET"]),
        Rule("/v1/plans", endpoint="make_plan", methods=["POST"]),
        Rule("/v1/plans/confirm", endpoint="confirm_plan", methods=["POST"]),
        Rule("/v1/plans/<plan_id>", endpoint="plan", methods=["GET"]),
        Rule("/v1/moves", endpoint="moves", methods=["GET"]),
        Rule("/v1/moves/<move_id>", endpoint="move", methods=["GET"]),
        Rule("/v1/moves/<move_id>/cancel", endpoint="cancel_move", methods=["POST"]),
    ]
)
_OPEN_ENDPOINTS = frozenset({"health", "readiness"})

_ERROR_STATUS: tuple[tuple[type[Exception], int, str], ...] = (
    (Unauthorized, 401, "unauthorized"),
    (PlainFormatError, 400, "malformed"),
    (ConfigInvalid, 422, "invalid"),
    (PlanExpired, 410, "expired"),
    (PlanConflict, 409, "conflict"),
    (TimeoutError, 503, "timeout"),
)


class _RateLimit:
    """Token bucket shared by all requests to the API."""

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate * BURST_S
        self._updated = clock.monotonic()
        self._lock = threading.Lock()

    def try_acquire(self) -> bool:
        """Take a token if one is available; return whether the request may be served."""
        with self._lock:
            now = self._clock.monotonic()
            refill = (now - self._updated) * self._rate
            self._tokens = min(self._rate * BURST_S, self._tokens + refill)
            self._updated = now
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


def _json(content: Any, status: int = 200) -> Response:
    return Response(json.dumps(content) + "\n", status=status, mimetype="application/json")


def _error(status: int, code: str, message: str) -> Response:
    return _json({"error": code, "message": message}, status)


class IntentApi:
    """Serves requests of operators.

    Args:
        gateway: Requests to the node's tasks.
        clock: Source of time.
        token: Bearer token that operators must present.
        default_profile: Policy for moves of intents that name no profile.
        requests_per_second: Mean rate of requests above which they are rejected.
        events: Receives log events.
    """

    def __init__(
        self,
        *,
        gateway: NodeGateway,
        clock: Clock,
        token: str,
        default_profile: str,
        requests_per_second: float,
        events: EventLog,
    ) -> None:
        self._gateway = gateway
        self._events = events
        self._clock = clock
        self._token = token
        self._default_profile = default_profile
        self._rate = _RateLimit(requests_per_second, clock)
        self._endpoints: dict[str, Callable[..., Response]] = {
            "health": self._health,
            "readiness": self._readiness,
            "status": self._status,
            "make_plan": self._make_plan,
            "confirm_plan": self._confirm_plan,
            "plan": self._plan,
            "moves": self._moves,
            "move": self._move,
            "cancel_move": self._cancel_move,
        }

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Handle one request as a WSGI application."""
        request = Request(environ)
        request.max_content_length = MAX_BODY_BYTES
        return self._dispatch(request)(environ, start_response)

    def _dispatch(self, request: Request) -> Response:
        try:
            endpoint, values = _URLS.bind_to_environ(request.environ).match()
            if not self._rate.try_acquire():
                return _error(429, "rate", "too many requests")
            if endpoint not in _OPEN_ENDPOINTS:
                self._authorize(request)
            return self._endpoints[endpoint](request, **values)
        except HTTPException as error:
            return _error(error.code or 500, error.name.lower(), error.description or "")
        except Exception as error:
            for kind, status, code in _ERROR_STATUS:
                if isinstance(error, kind):
                    return _error(status, code, str(error) or "the node did not answer in time")
            raise

    def _authorize(self, request: Request) -> None:
        header = request.headers.get("authorization", "")
        given = header.removeprefix("Bearer ")
        if not hmac.compare_digest(given.encode(), self._token.encode()):
            raise Unauthorized("a bearer token is needed")

    def _body(self, request: Request) -> Any:
        try:
            return json.loads(request.get_data())
        except ValueError as error:
            raise PlainFormatError([f"the body is not JSON: {error}"]) from error

    def _operator(self, request: Request) -> str:
        return request.headers.get("x-operator", "unnamed")[:64]

    def _health(self, _: Request) -> Response:
        return _json({"status": "alive"})

    def _readiness(self, _: Request) -> Response:
        status = queries.status(self._gateway)
        ready = status.readiness != "not ready"
        content = {"status": status.readiness, "reason": status.reason}
        return _json(content, 200 if ready else 503)

    def _status(self, _: Request) -> Response:
        return _json(to_plain(queries.status(self._gateway)))

    def _make_plan(self, request: Request) -> Response:
        intent = from_plain(self._body(request), Intent, name="intent")
        plan = commands.plan_intent(
            self._gateway, intent, clock=self._clock, default_profile=self._default_profile
        )
        self._events.write(Event.PLAN_MADE, plan=plan.plan_id, base_version=plan.base_version)
        return _json(to_plain(plan))

    def _confirm_plan(self, request: Request) -> Response:
        plan = from_plain(self._body(request), Plan, name="plan")
        operator = self._operator(request)
        try:
            result = commands.confirm(self._gateway, plan, operator=operator, clock=self._clock)
        except (PlanConflict, PlanExpired) as error:
            self._events.write(
                Event.PLAN_REFUSED, plan=plan.plan_id, operator=operator, reason=str(error)
            )
            raise
        event = Event.PLAN_UNKNOWN if result.result == "unknown" else Event.PLAN_CONFIRMED
        self._events.write(event, plan=plan.plan_id, operator=operator, version=result.version)
        return _json(to_plain(result), 202 if result.result == "unknown" else 200)

    def _plan(self, _: Request, plan_id: str) -> Response:
        return _json(to_plain(queries.plan(self._gateway, plan_id)))

    def _moves(self, _: Request) -> Response:
        return _json({"moves": [to_plain(entry) for entry in queries.moves(self._gateway)]})

    def _move(self, _: Request, move_id: str) -> Response:
        found = queries.move(self._gateway, move_id)
        if found is None:
            return _error(404, "not found", f"move {move_id!r} is not known")
        return _json(to_plain(found))

    def _cancel_move(self, request: Request, move_id: str) -> Response:
        result = commands.cancel(self._gateway, move_id, operator=self._operator(request))
        return _json(to_plain(result), 202 if result.result == "unknown" else 200)


def create_app(
    *,
    gateway: NodeGateway,
    clock: Clock,
    token: str,
    default_profile: str,
    requests_per_second: float,
    events: EventLog,
) -> IntentApi:
    """Create the WSGI application of the intent API."""
    return IntentApi(
        gateway=gateway,
        clock=clock,
        token=token,
        default_profile=default_profile,
        requests_per_second=requests_per_second,
        events=events,
    )
