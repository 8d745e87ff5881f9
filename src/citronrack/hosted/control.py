"""HTTP handlers for status reports of the target and readiness probes of the platform."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from ..calls.message import Body, Request, Response, local_page, local_response
from ..errors import CitronrackError
from ..telemetry import Event, EventLog
from ..verdict import Verdict
from .messages import CoreMessage, LeaveReceived, ReportReceived
from .target import TargetLeave, TargetReport

ANSWER_TIMEOUT_S = 0.8
"""Longest wait for the core; targets time out after a second."""

MAX_BODY_BYTES = 64 * 1024
TOO_LARGE = f"a report has at most {MAX_BODY_BYTES} bytes"


class ReportInvalid(CitronrackError):
    """A status report is malformed or of an unknown kind."""


ReportDecoder = Callable[[str, str, bytes], TargetReport | TargetLeave | None]
"""Decodes method, path and body; returns None for a request that is no report. Raises
`ReportInvalid`."""


class ControlHandler:
    """Passes reports to the core and acknowledges them once the core has applied them.

    Args:
        decode_report: Decodes a report; provided by the platform's adapter.
        post: Sends a message to the core.
        events: Event log.
    """

    def __init__(
        self, *, decode_report: ReportDecoder, post: Callable[[CoreMessage], None], events: EventLog
    ) -> None:
        self._decode_report = decode_report
        self._post = post
        self._events = events

    def handle(self, request: Request) -> Response:
        """Handle a request on the control address."""
        body = _read_limited(request.body)
        if body is None:
            self._events.write(Event.REPORT_REFUSED, path=request.path, reason=TOO_LARGE)
            return local_response(413, TOO_LARGE, Verdict.NOT_RUN)
        try:
            call = self._decode_report(request.method, request.path, body)
        except ReportInvalid as error:
            self._events.write(Event.REPORT_REFUSED, path=request.path, reason=str(error))
            return local_response(400, str(error), Verdict.NOT_RUN)
        if call is None:
            return local_response(404, "no such call", Verdict.NOT_RUN)
        answer: Future[str] = Future()
        self._post(
            LeaveReceived(call, answer)
            if isinstance(call, TargetLeave)
            else ReportReceived(call, answer)
        )
        try:
            fault = answer.result(ANSWER_TIMEOUT_S)
        except FutureTimeout:
            return local_response(503, "the report was not taken in time", Verdict.MAY_HAVE_RUN)
        if fault:
            self._events.write(Event.REPORT_REFUSED, path=request.path, reason=fault)
            return local_response(400, fault, Verdict.NOT_RUN)
        return local_page(b"application/json", b"{}")


def _read_limited(body: Body) -> bytes | None:
    """Return a body, None if it has more than `MAX_BODY_BYTES`."""
    content = bytearray()
    for part in body.chunks():
        content += part
        if len(content) > MAX_BODY_BYTES:
            return None
    return bytes(content)


def readiness_handler(
    is_readiness_request: Callable[[str, str], bool], is_ready: Callable[[], bool]
) -> Callable[[Request], Response]:
    """Return the handler of the readiness address.

    Args:
        is_readiness_request: Returns whether method and path are those of a readiness probe.
        is_ready: Returns whether the node accepts new calls.
    """

    def handle(request: Request) -> Response:
        if not is_readiness_request(request.method, request.path):
            return local_response(404, "no such call", Verdict.NOT_RUN)
        if not is_ready():
            return local_response(503, "the node is not ready", Verdict.NOT_RUN)
        return local_page(b"application/json", b"{}")

    return handle
