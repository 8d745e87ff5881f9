"""The platform's log: client, records, fold, leases, snapshots and appends with retry."""

from __future__ import annotations

from .appender import Appended, Appender
from .client import LogClient, LogPage
from .fold import FoldResult, LogFold
from .lease import LeaseManager
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
from .snapshot import SnapshotScheduler, load_snapshot

__all__ = [
    "Appended",
    "Appender",
    "Cancelled",
    "Claim",
    "Confirmed",
    "Envelope",
    "FoldResult",
    "LeaseManager",
    "LogClient",
    "LogFold",
    "LogPage",
    "Marked",
    "MoveOutcome",
    "SeedList",
    "SnapshotScheduler",
    "SnapshotTaken",
    "decode_record",
    "encode_record",
    "load_snapshot",
]
