"""Codec of the operator's records in the store: configurations, rollout orders and status."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from attrs import frozen

from ..config import ConfigSet, KeyDigester, Route, Service
from ..config.model import SplitPart
from ..hosted.dependencies import OperatorTopic
from ..hosted.evacuation import EvacuationOrder
from ..hosted.publish import Write
from ..hosted.record_audit import RecordFault
from ..hosted.rollout_record import ROLLOUT_PREFIX as STORED_PREFIX
from ..hosted.rollout_record import Phase, RolloutOrder, decode_record
from ..hosted.store import MESH_TOPIC, KeyedRecord
from .fields import (
    FieldError,
    T,
    parse_object,
    require,
    require_number,
    require_rate,
    require_seconds,
)
from .names import CONFIG_KEY, EVACUATION_PREFIX, OPERATOR_TOPIC, ROLLOUT_PREFIX, STATUS_TOPIC
from .rows import TABLE_FAULT, RowDecoder, RowError
from .tenants import TABLE, WorkspaceDecoder, check_keys


@frozen
class _Kind:
    """What the kind of a route says about its calls."""

    idempotent: bool
    large_answers: bool = False


_KINDS = {
    "idempotent": _Kind(idempotent=True),
    "non_idempotent": _Kind(idempotent=False),
    "upload": _Kind(idempotent=False),
    "download": _Kind(idempotent=True, large_answers=True),
}

_STATE_OF_PHASE = {
    Phase.RUNNING: "in_progress",
    Phase.COMPLETED: "completed",
    Phase.ROLLED_BACK: "rolled_back",
}

_DEFAULT_TIMEOUT_S = 30.0
"""For routes without a timeout; the deadline of the caller still applies."""


class ConfigDecoder:
    """Decodes configurations and reuses the entries that the previous version has in common.

    Args:
        digester: Computes the digests of keys, a new one if None.
    """

    def __init__(self, digester: KeyDigester | None = None) -> None:
        digester = digester if digester is not None else KeyDigester()
        workspaces = WorkspaceDecoder(digester)
        self._services = RowDecoder("services", _service)
        self._routes = RowDecoder("routes", _route)
        self._workspaces = RowDecoder(TABLE, workspaces.decode, mark=workspaces.mark)

    def decode(self, record: KeyedRecord) -> ConfigSet | None:
        """Return the configuration in a record, None for another kind or an invalid record."""
        if record.key != CONFIG_KEY or record.value is None:
            return None
        try:
            return self._decode(record.value)
        except FieldError:
            return None

    def fault(self, record: KeyedRecord) -> RecordFault | None:
        """Return why a configuration is refused, None for a valid one or another kind."""
        if record.key != CONFIG_KEY or record.value is None:
            return None
        try:
            self._decode(record.value)
        except RowError as error:
            return RecordFault(error.table, error.row, error.reason)
        except FieldError as error:
            return RecordFault("", TABLE_FAULT, str(error))
        return None

    def _decode(self, value: bytes) -> ConfigSet:
        fields = parse_object(value)
        config = ConfigSet(
            version=require_number(fields, "version"),
            services=self._services.decode(fields),
            routes=self._routes.decode(fields),
            workspaces=self._workspaces.decode(fields) if fields.get(TABLE) is not None else {},
        )
        _check_references(config)
        check_keys(config.workspaces.values())
        return config


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


def status_write(service: str) -> Write:
    """Return the write that reports the stored phase of a rollout to the operator."""

    def derive(source: bytes | None) -> bytes | None:
        record = decode_record(source)
        if record is None:
            return None
        status = {
            "service": service,
            "state": _STATE_OF_PHASE[Phase(record.phase)],
            "target_version": record.target_version,
        }
        return json.dumps(status).encode()

    return Write(
        STATUS_TOPIC,
        ROLLOUT_PREFIX + service,
        None,
        source=(MESH_TOPIC, STORED_PREFIX + service),
        derive=derive,
    )


def operator_topic() -> OperatorTopic:
    """Return the codec of the operator's records."""
    digester = KeyDigester()
    decoder = ConfigDecoder(digester)
    return OperatorTopic(
        name=OPERATOR_TOPIC,
        config=decoder.decode,
        order=decode_order,
        status=status_write,
        evacuation=decode_evacuation,
        fault=decoder.fault,
        digester=digester,
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
    for number, route in enumerate(config.routes.values(), start=1):
        names = {part.service for part in route.split} or {route.service}
        if not names <= config.services.keys():
            raise RowError("routes", number, "it names a service that is not configured")


def _route(row: Mapping[str, Any]) -> Route:
    kind = require(row, "kind", str)
    if kind not in _KINDS:
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
        idempotent=_KINDS[kind].idempotent,
        max_attempts=require_number({"max_attempts": 1, **row}, "max_attempts"),
        target_latency_ms=round(latency_s * 1000),
        priority=require_number({"priority": 0, **row}, "priority"),
        split=parts,
        public=_optional(row, "public", bool, False),
        large_answers=_KINDS[kind].large_answers,
    )
