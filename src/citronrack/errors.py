"""Exception classes of citronrack."""

from __future__ import annotations

from collections.abc import Sequence

from .verdict import Verdict


class CitronrackError(Exception):
    """Base of all errors raised by citronrack."""


class SettingsError(CitronrackError):
    """The settings are invalid.

    Args:
        faults: One line per error, each with file, key path and what was expected.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = tuple(faults)


class ConfigInvalid(CitronrackError):
    """A configuration change would result in an invalid or incomplete configuration.

    Args:
        faults: One line per error.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = tuple(faults)


class LogError(CitronrackError):
    """Base of errors of the platform's log service."""


class LogUnavailable(LogError):
    """The log service did not respond; a failed read has no effect."""


class LogTrimmed(LogError):
    """The requested offset is older than the oldest retained record.

    Args:
        first: Oldest retained offset.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"records below offset {first} are no longer retained")
        self.first = first


class SnapshotMissing(LogError):
    """Required records were trimmed, and there is no usable snapshot of them."""


class AppendUnknown(LogError):
    """An append got no response; the record may be in the log."""


class AppendRefused(LogError):
    """The log service or the local append budget refused; the record is not in the log."""


class MessageRejected(CitronrackError):
    """A message from another node was malformed, oversized, foreign or not authentic.

    Args:
        reason: Short constant reason, used as a metric suffix.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"message rejected: {reason}")
        self.reason = reason


class PlanConflict(CitronrackError):
    """A plan is based on a configuration version that is no longer in force."""


class PlanExpired(CitronrackError):
    """A plan was confirmed after it had expired."""


class Unauthorized(CitronrackError):
    """The operator's token is missing or invalid."""


class CallFailed(CitronrackError):
    """A call got no complete response.

    Args:
        message: Description of the failure.
        verdict: Whether the request may have run.
    """

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict
