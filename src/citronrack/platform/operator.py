"""Codec of the operator's records in the store: configurations, rollout orders and status."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any

from ..config import ConfigSet, Route, Service
from ..config.model import SplitPart
from ..hosted.dependencies import OperatorTopic
from ..hosted.evacuation import EvacuationOrder
from ..hosted.publish import Write
from ..hosted.rollout_record import Phase, RolloutOrder
from ..hosted.store import KeyedRecord
from .fields import (
    FieldError,
    T,
    Table,
    parse_object,
    require,
    require_number,
    require_rate,
    require_seconds,
)
from .names import CONFIG_KEY, EVACUATION_PREFIX, OPERATOR_TOPIC, ROLLOUT_PREFIX, STATUS_TOPIC

_IDEMPOTENT_BY_KIND = {"idempotent": True, "non_idempotent": False, "upload": False}

_STATE_OF_PHASE = {
    Phase.RUNNING: "in_progress",
    Phase.COMPLETED: "completed",
    Phase.ROLLED_BACK: "rolled_back",
}

_DEFAULT_TIMEOUT_S = 30.0
"""For routes without a timeout; the deadline of the caller still applies."""


class ConfigDecoder:
    """Decodes configurations and reuses the routes that the previous version has in common.

    A change affects a few of several hundred routes, and decoding all of them took most of the time
    that a node spends on a change.
    """

    def __init__(self) -> None:
        self._columns: list[str] = []
        self._routes: dict[str, Route] = {}

    def decode(self, record: KeyedRecord) -> ConfigSet | None:
        """Return the configuration in a record, None for another kind or an invalid record."""
        if record.key != CONFIG_KEY or record.value is None:
            return None
        try:
            fields = parse_object(record.value)
            services = [_service(row) for row in Table.of(fields, "services").maps()]
            config = ConfigSet(
                version=require_number(fields, "version"),
                services={service.name: service for service in services},
                routes={
                    route.name: route for route in self._decode_routes(Table.of(fields, "routes"))
                },
            )
            _check_references(config)
            return config
        except FieldError:
            return None

    def _decode_routes(self, table: Table) -> Iterable[Route]:
        if table.columns != self._columns:
            self._columns, self._routes = table.columns, {}
        known: dict[str, Route] = {}
        for row in table.rows:
            text = repr(row)
            known[text] = self._routes.get(text) or _route(table.as_map(row))
        self._routes = known
        return known.values()


def decode_order(record: KeyedRecord) -> RolloutOrder | None:
    """Return the rollout order in a record, None for another kind or an invalid record."""
    if not record.key.startswith(ROLLOUT_PREFIX) or record.value is None:
        return None
    try:
        fields = parse_object(record.value)
        return RolloutOrder(
            order_id=record.position,
            service=require(fields, "service", str),
            target_version=require(fields, "target_version", str),
            duration_s=require_seconds(fields, "duration"),
        )
    except FieldError:
        return None


def decode_evacuation(record: KeyedRecord) -> EvacuationOrder | None:
    """Return what a record asks of a zone, None for another kind or an invalid record."""
    zone = record.key.removeprefix(EVACUATION_PREFIX)
    if not zone or zone == record.key:
        return None
    if record.value is None:
        return EvacuationOrder(zone, active=False)
    try:
        parse_object(record.value)
    except FieldError:
        return None
    return EvacuationOrder(zone, active=True)


def status_write(service: str, version: str, phase: Phase) -> Write:
    """Return the write that reports the phase of a rollout to the operator."""
    status = {
        "service": service,
        "state": _STATE_OF_PHASE[phase],
        "target_version": version,
    }
    value = json.dumps(status).encode()
    return Write(
        STATUS_TOPIC, ROLLOUT_PREFIX + service, value, may_replace=lambda current: current != value
    )


def operator_topic() -> OperatorTopic:
    """Return the codec of the operator's records."""
    return OperatorTopic(
        name=OPERATOR_TOPIC,
        config=ConfigDecoder().decode,
        order=decode_order,
        status=status_write,
        evacuation=decode_evacuation,
    )


def _service(row: Mapping[str, Any]) -> Service:
    return Service(
        name=require(row, "name", str),
        cold_start_s=require_seconds(row, "cold_start") if "cold_start" in row else 0.0,
        cold_per_s=require_rate(row, "cold_per_s") if "cold_per_s" in row else 0.0,
    )


def _optional(row: Mapping[str, Any], name: str, kind: type[T], default: T) -> T:
    return require(row, name, kind) if name in row else default


def _split_part(part: Any) -> SplitPart:
    if not isinstance(part, dict):
        raise FieldError("a part of a route is not an object")
    return SplitPart(require(part, "service", str), require_number(part, "weight"))


def _check_references(config: ConfigSet) -> None:
    """Check that routes only name services of the configuration."""
    for route in config.routes.values():
        names = {part.service for part in route.split} or {route.service}
        if not names <= config.services.keys():
            raise FieldError(f"route {route.name!r} names a service that is not configured")


def _route(row: Mapping[str, Any]) -> Route:
    kind = require(row, "kind", str)
    if kind not in _IDEMPOTENT_BY_KIND:
        raise FieldError(f"the kind {kind!r} of a route is not known")
    parts = tuple(_split_part(part) for part in _optional(row, "weighted_clusters", list, []))
    if parts and not any(part.weight for part in parts):
        raise FieldError("the parts of a route have no weight")
    timeout_s = require_seconds(row, "timeout") if "timeout" in row else _DEFAULT_TIMEOUT_S
    latency_s = require_seconds(row, "target_latency") if "target_latency" in row else 0.0
    return Route(
        name=require(row, "name", str),
        host=require(row, "host", str).lower(),
        prefix=require(row, "prefix", str),
        service=parts[0].service if parts else require(row, "service", str),
        service_version="",
        timeout_ms=round(timeout_s * 1000),
        idempotent=_IDEMPOTENT_BY_KIND[kind],
        max_attempts=require_number({"max_attempts": 1, **row}, "max_attempts"),
        target_latency_ms=round(latency_s * 1000),
        priority=require_number({"priority": 0, **row}, "priority"),
        split=parts,
    )
