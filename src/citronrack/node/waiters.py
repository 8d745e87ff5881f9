"""API requests that wait until a record is folded."""

from __future__ import annotations

from ..log import LogFold
from ..log.fold import PlanState
from .mail import PlanAwaited, RecordAwaited


class Waiters:
    """Requests that wait for the fold to reach their offset."""

    def __init__(self) -> None:
        self._waiting: list[PlanAwaited | RecordAwaited] = []

    def add(self, mail: PlanAwaited | RecordAwaited) -> None:
        """Add a request that waits until its record is folded."""
        self._waiting.append(mail)

    def answer(self, fold: LogFold) -> None:
        """Answer all requests whose record is folded."""
        if not self._waiting:
            return
        due = [mail for mail in self._waiting if mail.offset < fold.next_offset]
        self._waiting = [mail for mail in self._waiting if mail.offset >= fold.next_offset]
        for mail in due:
            if isinstance(mail, PlanAwaited):
                lost = PlanState(False, mail.offset, "the record could not be read")
                mail.answer.set_result(fold.state.plans.get(mail.plan_id, lost))
            else:
                mail.answer.set_result(fold.state)
