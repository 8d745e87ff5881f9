"""Tracks the state of the local target from its reports and leave notices."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import Any

from attrs import field, frozen
from attrs.validators import optional

from .. import validators
from ..calls.notice import TargetProcess
from ..calls.target_identity import TargetIdentity
from ..clock import Clock
from ..validators import MAX_NUMBER, MAX_TEXT

ALIVE_AFTER_REPORTS = 0.3
"""Fraction of the report interval over which a process with an earlier start time must report while
the known one is silent; reports that were held up arrive closer to each other."""

MISSED_REPORTS = 4
"""Missed reports after which a target gets no calls; a single report may be seconds late."""

MAX_LEAVE_NOTICES = 8
"""Leave notices that are kept, so that late reports of earlier starts are recognised."""

NO_TARGET = "the target has not reported yet"
LEAVING = "the target is leaving"
SILENT = "the target has stopped reporting"
ENDED = "the process of the target has ended"


class TargetState(StrEnum):
    """Whether the target takes calls."""

    UNKNOWN = "unknown"
    SERVING = "serving"
    SILENT = "silent"
    ENDED = "ended"
    LEAVING = "leaving"


@frozen
class TargetReport:
    """One status report of a target.

    Attributes:
        target_id: Id of the target.
        service: Its service.
        service_version: Version of the service that it runs.
        address: ``ip:port`` of its HTTP server.
        slots: Calls that it runs concurrently.
        draining: Whether it is about to leave.
        sequence: Increases with each report of one start.
        started_ms: Wall time of its start, in milliseconds since the Unix epoch.
        cold_s: Remaining time for which it is slow after its start, in seconds.
    """

    target_id: str
    service: str
    service_version: str
    address: str
    slots: int
    draining: bool
    sequence: int
    started_ms: int
    cold_s: float


@frozen
class TargetLeave:
    """Notice of a target that it leaves.

    Attributes:
        target_id: Id of the target.
        started_ms: Wall time of its start, None when the notice does not contain it.
    """

    target_id: str = field(validator=validators.text(MAX_TEXT))
    started_ms: int | None = field(validator=optional(validators.between(0, MAX_NUMBER)))

    def matches(self, report: TargetReport) -> bool:
        """Return whether a report is from the start of the target that leaves."""
        same_start = self.started_ms is None or self.started_ms == report.started_ms
        return report.target_id == self.target_id and same_start


@frozen
class OwnTargetView:
    """The known state of the local target.

    Attributes:
        state: Whether it takes calls.
        report: Its latest report, None before the first.
        cold_until: Monotonic time until which it is slow, in seconds.
    """

    state: TargetState = TargetState.UNKNOWN
    report: TargetReport | None = None
    cold_until: float = 0.0

    @property
    def log_fields(self) -> dict[str, Any]:
        """Fields of a log line about the target."""
        if self.report is None:
            return {"state": self.state.value}
        return {
            "state": self.state.value,
            "target_id": self.report.target_id,
            "service_version": self.report.service_version,
            "sequence": self.report.sequence,
        }


class OwnTargetTracker:
    """Orders the reports of the local target and derives its state.

    Reports may arrive late, out of order, or after a new process took over the address. A start is
    identified by its time and id, and a report by its sequence number within the start.

    Args:
        address: ``ip:port`` at which the target serves.
        service: Service from the settings, used for the identity before the first report.
        report_interval_s: Usual time between reports.
        clock: Source of time.
    """

    def __init__(
        self, *, address: str, service: str, report_interval_s: float, clock: Clock
    ) -> None:
        self._address = address
        self._service = service
        self._report_timeout_s = MISSED_REPORTS * report_interval_s
        self._clock = clock
        self._view = OwnTargetView()
        self._alive_after_s = ALIVE_AFTER_REPORTS * report_interval_s
        self._earlier_start: tuple[float, TargetReport] | None = None
        self._last_report_at = 0.0
        self._leave_notices: deque[TargetLeave] = deque(maxlen=MAX_LEAVE_NOTICES)
        self._left: TargetLeave | None = None
        self._identity = TargetIdentity(service, "", refusal=NO_TARGET)

    @property
    def view(self) -> OwnTargetView:
        """Known state of the target; an immutable snapshot."""
        return self._view

    @property
    def identity(self) -> TargetIdentity:
        """Identity of the target for the call path; an immutable snapshot."""
        return self._identity

    @property
    def left(self) -> TargetLeave | None:
        """The latest leaving that was reported, None if no target has left."""
        return self._left

    def on_report(self, report: TargetReport) -> bool:
        """Apply a report; return whether the state of the target changed.

        Raises:
            ValueError: If the report is of a target at another address.
        """
        if report.address != self._address:
            raise ValueError(f"the report is of a target at {report.address}")
        now = self._clock.monotonic()
        known = self._view.report
        if known is not None and not self._is_newer(report, known, now):
            return False
        self._last_report_at = now
        self._earlier_start = None
        leaving = report.draining or self._matches_leave_notice(report)
        if known is not None and self._same_start(report, known) and self._leaving:
            leaving = True
        if leaving:
            self._left = TargetLeave(report.target_id, report.started_ms)
        state = TargetState.LEAVING if leaving else TargetState.SERVING
        return self._replace_view(OwnTargetView(state, report, now + report.cold_s))

    def on_leave(self, leave: TargetLeave) -> bool:
        """Apply a leave notice; return whether the state of the target changed.

        The notice also applies to later reports: a node that has just started may receive the
        notice first, and then reports that were sent before it.
        """
        if self._view.report is None:
            self._left = leave
        return self._apply_notice(leave)

    def restore_leave(self, leave: TargetLeave) -> bool:
        """Apply a leave notice that an earlier process of this node has acknowledged.

        Returns:
            Whether the state of the target changed.
        """
        if leave in self._leave_notices:
            return False
        self._left = self._left or leave
        return self._apply_notice(leave)

    def _apply_notice(self, leave: TargetLeave) -> bool:
        self._leave_notices.append(leave)
        known = self._view.report
        if known is None or not self._matches_leave_notice(known):
            return False
        self._left = TargetLeave(known.target_id, known.started_ms)
        return self._replace_view(OwnTargetView(TargetState.LEAVING, known, self._view.cold_until))

    def _matches_leave_notice(self, report: TargetReport) -> bool:
        """Return whether a leave notice is from the same start as a report."""
        for index, notice in enumerate(self._leave_notices):
            if notice.matches(report):
                # A later start may reuse the id, so the notice is bound to the time of this start.
                self._leave_notices[index] = TargetLeave(report.target_id, report.started_ms)
                return True
        return False

    def on_tick(self) -> bool:
        """Detect a target that has stopped reporting; return whether the state changed."""
        view = self._view
        timed_out = self._clock.monotonic() - self._last_report_at > self._report_timeout_s
        if view.state is not TargetState.SERVING or not timed_out:
            return False
        return self._replace_view(OwnTargetView(TargetState.SILENT, view.report, view.cold_until))

    def on_end(self, process: TargetProcess) -> bool:
        """Record that a process of the target has ended; return whether the state changed.

        It is used again as soon as a process reports, even the same one.
        """
        view = self._view
        if view.state is not TargetState.SERVING or self._identity.process != process:
            return False
        return self._replace_view(OwnTargetView(TargetState.ENDED, view.report, view.cold_until))

    @property
    def _leaving(self) -> bool:
        return self._view.state is TargetState.LEAVING

    @staticmethod
    def _same_start(report: TargetReport, known: TargetReport) -> bool:
        return (report.target_id, report.started_ms) == (known.target_id, known.started_ms)

    def _is_newer(self, report: TargetReport, known: TargetReport, now: float) -> bool:
        if self._same_start(report, known):
            return report.sequence > known.sequence
        if report.started_ms != known.started_ms:
            # The wall clock may jump back between two starts, so a new start with an earlier time
            # is accepted once the known one has timed out.
            timed_out = now - self._last_report_at > self._report_timeout_s
            return report.started_ms > known.started_ms or timed_out or self._is_alive(report, now)
        return report.target_id != known.target_id and self._leaving

    def _is_alive(self, report: TargetReport, now: float) -> bool:
        """Return whether a report with an earlier start time is of the process that runs now.

        Reports of a former process that were held up arrive together, or between those of the
        known one. A process that started after the wall clock was set back goes on reporting.
        """
        since, candidate = self._earlier_start or (now, report)
        if not self._same_start(report, candidate) or report.sequence < candidate.sequence:
            since, candidate = now, report
        self._earlier_start = since, candidate
        return now - since >= self._alive_after_s

    def _replace_view(self, view: OwnTargetView) -> bool:
        before = self._view
        self._view = view
        self._identity = self._identity_of(view)
        if before.report is None or view.report is None:
            return True
        same = self._same_start(before.report, view.report) and before.state is view.state
        return not same

    def _identity_of(self, view: OwnTargetView) -> TargetIdentity:
        if view.report is None:
            return TargetIdentity(self._service, "", refusal=NO_TARGET)
        return TargetIdentity(
            service=view.report.service,
            service_version=view.report.service_version,
            target_id=view.report.target_id,
            refusal=_REFUSALS.get(view.state, ""),
            started_ms=view.report.started_ms,
        )


_REFUSALS = {
    TargetState.UNKNOWN: NO_TARGET,
    TargetState.LEAVING: LEAVING,
    TargetState.SILENT: SILENT,
    TargetState.ENDED: ENDED,
}
