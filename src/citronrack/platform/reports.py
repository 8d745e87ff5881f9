"""Decodes what a target says of itself."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..hosted.control import ReportInvalid
from ..hosted.target import TargetLeave, TargetReport
from .fields import FieldError, parse_object, require, require_seconds
from .names import LEAVE_PREFIX, REPORT_PREFIX

_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_report(method: str, path: str, body: bytes) -> TargetReport | TargetLeave | None:
    """Return the report or notice in a request, None for another request.

    Raises:
        ReportInvalid: When a field is missing or of another type.
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
    slots = require(info, "capacity", int)
    if slots < 1:
        raise FieldError("field 'capacity' is not a positive number")
    return TargetReport(
        target_id=target_id,
        service=require(info, "service", str),
        service_version=require(info, "version", str),
        address=require(fields, "address", str),
        slots=slots,
        draining=_DRAINING_BY_STATE[state],
        sequence=require(status, "sequence", int),
        started_ms=require(fields, "born", int),
        cold_s=require_seconds(status, "cold_remaining"),
    )


def _leave(target_id: str, body: bytes) -> TargetLeave:
    fields = parse_object(body) if body else {}
    born = fields.get("born")
    return TargetLeave(target_id, born if isinstance(born, int) else None)
