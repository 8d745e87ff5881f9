"""Whether a request may have run at its target."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """What is known about the execution of one request."""

    NOT_RUN = "not-run"
    """Proven: no part of the request reached the target."""

    MAY_HAVE_RUN = "may-have-run"
    """Some part of the request may have reached the target."""

    RAN = "ran"
    """A complete answer arrived from the target."""

    @property
    def safe_to_retry(self) -> bool:
        """Whether any request, idempotent or not, may be sent again."""
        return self is Verdict.NOT_RUN
