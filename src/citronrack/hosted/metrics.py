"""Serves the metrics of a hosted node."""

from __future__ import annotations

from collections.abc import Callable

from ..calls.message import Answer, Request, own_answer, own_page
from ..calls.path import CallPath
from ..telemetry import EventLog
from ..telemetry.exposition import Exposition
from ..transport.zmq_transport import ZmqTransport
from ..verdict import Verdict
from .core import HostedCore


def metrics_handler(path: str, metrics: Exposition) -> Callable[[Request], Answer]:
    """Return the handler of the metrics address, which serves one path."""

    def handle(request: Request) -> Answer:
        if request.path.partition("?")[0] != path:
            return own_answer(404, "no such page", Verdict.NOT_RUN)
        return own_page(b"text/plain; version=0.0.4; charset=utf-8", metrics.render())

    return handle


def register_gauges(
    metrics: Exposition,
    core: HostedCore,
    call_path: CallPath,
    events: EventLog,
    transport: ZmqTransport,
) -> None:
    """Register the gauges with the functions that return their values."""
    metrics.read_from("target_load", lambda: call_path.admission.load)
    metrics.read_from("config_version", lambda: core.config_version)
    metrics.read_from("config_age_seconds", lambda: core.config_age_s)
    metrics.read_from("nodes_known", lambda: core.nodes_known)
    metrics.read_from("store_answers", lambda: core.store_answers)
    metrics.read_from("log_lines_left_out", lambda: events.dropped)
    metrics.read_from("messages_sent", lambda: transport.messages_sent)
    metrics.read_from("message_bytes_sent", lambda: transport.bytes_sent)
