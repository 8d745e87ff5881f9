"""Whether a request may have run on its target."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """What is known about the execution of one request."""

    NOT_RUN = "not-run"
    """It is proven that no part of the request reached the target."""

    MAY_HAVE_RUN = "may-have-run"
    """Part of the request may have reached the target."""

    RAN = "ran"
    """A complete response arrived from the target."""

    @property
    def safe_to_retry(self) -> bool:
        """Whether any request, idempotent or not, may be sent again."""
        return self is Verdict.NOT_RUN
