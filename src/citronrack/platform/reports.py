"""Decodes status reports and leave notices of targets."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..hosted.control import ReportInvalid
from ..hosted.target import TargetLeave, TargetReport
from ..validators import MAX_SLOTS
from .fields import (
    MAX_SECONDS,
    FieldError,
    parse_object,
    require,
    require_number,
    require_seconds,
    require_text,
)
from .names import LEAVE_PREFIX, REPORT_PREFIX

_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_report(method: str, path: str, body: bytes) -> TargetReport | TargetLeave | None:
    """Return the report or leave notice in a request, None for any other request.

    Raises:
        ReportInvalid: If a field is missing or invalid.
    """
    path = path.partition("?")[0]
    if method != "POST":
        return None
    try:
        if path.startswith(REPORT_PREFIX):
            return _report(path.removeprefix(REPORT_PREFIX), parse_object(body))
        if path.startswith(LEAVE_PREFIX):
            return _leave(path.removeprefix(LEAVE_PREFIX), body)
    except FieldError as error:
        raise ReportInvalid(str(error)) from error
    return None


def _report(target_id: str, fields: Mapping[str, Any]) -> TargetReport:
    info = require(fields, "info", dict)
    status = require(fields, "status", dict)
    state = require(status, "state", str)
    if not target_id or state not in _DRAINING_BY_STATE:
        raise FieldError(f"the state {state!r} of {target_id!r} is not known")
    return TargetReport(
        target_id=require_text({"id": target_id}, "id"),
        service=require_text(info, "service"),
        service_version=require_text(info, "version"),
        address=require_text(fields, "address"),
        slots=require_number(info, "capacity", least=1, most=MAX_SLOTS),
        draining=_DRAINING_BY_STATE[state],
        sequence=require_number(status, "sequence"),
        started_ms=require_number(fields, "born"),
        cold_s=max(0.0, require_seconds(status, "cold_remaining", least=-MAX_SECONDS)),
    )


def _leave(target_id: str, body: bytes) -> TargetLeave:
    fields = parse_object(body) if body else {}
    started_ms = require_number(fields, "born") if "born" in fields else None
    return TargetLeave(require_text({"id": target_id}, "id"), started_ms)
