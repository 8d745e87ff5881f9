"""Serves the metrics of a hosted node."""

from __future__ import annotations

from collections.abc import Callable

from ..calls.message import Request, Response, local_page, local_response
from ..calls.path import CallPath
from ..telemetry import EventLog
from ..telemetry.exposition import Exposition
from ..transport.zmq_transport import ZmqTransport
from ..verdict import Verdict
from .core import HostedCore


def metrics_handler(path: str, metrics: Exposition) -> Callable[[Request], Response]:
    """Return the handler of the metrics address, which serves one path."""

    def handle(request: Request) -> Response:
        if request.path.partition("?")[0] != path:
            return local_response(404, "no such page", Verdict.NOT_RUN)
        return local_page(b"text/plain; version=0.0.4; charset=utf-8", metrics.render())

    return handle


def register_gauges(
    metrics: Exposition,
    core: HostedCore,
    call_path: CallPath,
    events: EventLog,
    transport: ZmqTransport,
) -> None:
    """Register the gauges with the functions that return their values."""
    metrics.set_source("target_load", lambda: call_path.admission.load)
    metrics.set_source("target_cold", lambda: core.target_cold)
    metrics.set_source("zones_evacuated", lambda: core.zones_evacuated)
    metrics.set_source("config_version", lambda: core.config_version)
    metrics.set_source("config_age_seconds", lambda: core.config_age_s)
    metrics.set_source("config_certain_age_seconds", lambda: core.config_certain_age_s)
    metrics.set_source("nodes_known", lambda: core.nodes_known)
    metrics.set_source("records_refused", lambda: core.records_refused)
    metrics.set_source("store_answers", lambda: core.store_answers)
    metrics.set_source("log_lines_left_out", lambda: events.dropped)
    metrics.set_source("messages_sent", lambda: transport.messages_sent)
    metrics.set_source("message_bytes_sent", lambda: transport.bytes_sent)
