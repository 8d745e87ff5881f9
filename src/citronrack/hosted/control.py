"""Answers the target's reports and the platform's questions over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from ..calls.message import Request, Response, local_page, local_response
from ..errors import CitronrackError
from ..telemetry import Event, EventLog
from ..verdict import Verdict
from .messages import CoreMessage, LeaveReceived, ReportReceived
from .target import TargetLeave, TargetReport

ANSWER_TIMEOUT_S = 0.8
"""Longest wait for the core; a target gives a report up after a second."""

MAX_BODY_BYTES = 64 * 1024


class ReportInvalid(CitronrackError):
    """A status report is malformed or of a kind that is not known."""


ReportDecoder = Callable[[str, str, bytes], TargetReport | TargetLeave | None]
"""Decodes method, path and body; None for a path that is no report. Raises `ReportInvalid`."""


class ControlHandler:
    """Passes reports to the core and acknowledges them once they are in force.

    Args:
        decode_report: Decodes a report; given by the platform's adapter.
        post: Takes messages for the core.
        events: Log lines.
    """

    def __init__(
        self, *, decode_report: ReportDecoder, post: Callable[[CoreMessage], None], events: EventLog
    ) -> None:
        self._read_call = decode_report
        self._post = post
        self._events = events

    def handle(self, request: Request) -> Response:
        """Answer a request on the control address."""
        body = b"".join(request.body.chunks())
        try:
            call = self._read_call(request.method, request.path, body[:MAX_BODY_BYTES])
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


def readiness_handler(
    is_question: Callable[[str, str], bool], is_ready: Callable[[], bool]
) -> Callable[[Request], Response]:
    """Return the handler of the readiness address.

    Args:
        is_question: Whether method and path ask for readiness.
        is_ready: Whether callers may send new work.
    """

    def handle(request: Request) -> Response:
        if not is_question(request.method, request.path):
            return local_response(404, "no such call", Verdict.NOT_RUN)
        if not is_ready():
            return local_response(503, "the node is not ready", Verdict.NOT_RUN)
        return local_page(b"application/json", b"{}")

    return handle
