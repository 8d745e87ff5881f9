"""The limits of workspaces, as the call path asks for them."""

from __future__ import annotations

from typing import Protocol

from ..decisions.allotment import Admission, AdmissionStatus, OverLimit
from .headers import RETRY_AFTER
from .message import MIN_RETRY_AFTER_S, Response

LIMIT_EXCEEDED = "the limit of the workspace is exceeded"
LIMIT_UNKNOWN = "no node says whether the limit of the workspace leaves room"

REFUSALS = {OverLimit: (429, LIMIT_EXCEEDED), AdmissionStatus: (503, LIMIT_UNKNOWN)}
"""Status and reason of the refusal, by the class of the result."""


class WorkspaceLimits(Protocol):
    """Admits the requests of workspaces."""

    def admit(self, workspace: str) -> Admission:
        """Count a request; return whether it is within the limit of its workspace."""

    def refund(self, workspace: str) -> None:
        """Count a request no more, since it has not run."""


class NoLimits:
    """For nodes whose workspaces have no limits."""

    def admit(self, workspace: str) -> Admission:
        """Admit the request."""
        return AdmissionStatus.ADMITTED

    def refund(self, workspace: str) -> None:
        """Do nothing."""


def state_retry_after(response: Response, result: Admission) -> None:
    """State in a refusal when a request will be admitted."""
    if isinstance(result, OverLimit):
        seconds = max(MIN_RETRY_AFTER_S, result.retry_after_s)
        response.headers.append((RETRY_AFTER, b"%.2f" % seconds))
