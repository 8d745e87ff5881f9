"""The platform's log: client, records, fold, leases, snapshots and appends with retry."""

from __future__ import annotations

from .client import LogClient, LogPage
from .fold import FoldResult, LogFold
from .records import (
    Cancelled,
    Claim,
    Confirmed,
    Envelope,
    Marked,
    MoveOutcome,
    SeedList,
    SnapshotTaken,
    decode_record,
    encode_record,
)

__all__ = [
    "Cancelled",
    "Claim",
    "Confirmed",
    "Envelope",
    "FoldResult",
    "LogClient",
    "LogFold",
    "LogPage",
    "Marked",
    "MoveOutcome",
    "SeedList",
    "SnapshotTaken",
    "decode_record",
    "encode_record",
]
