"""The platform's log: client, records, fold, leases, snapshots and appends with retry."""

from __future__ import annotations

from .appender import Appended, Appender
from .client import LogClient, LogPage
from .fold import FoldResult, LogFold
from .lease import LeaseKeeper
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
from .snapshot import SnapshotKeeper, load_snapshot

__all__ = [
    "Appended",
    "Appender",
    "Cancelled",
    "Claim",
    "Confirmed",
    "Envelope",
    "FoldResult",
    "LeaseKeeper",
    "LogClient",
    "LogFold",
    "LogPage",
    "Marked",
    "MoveOutcome",
    "SeedList",
    "SnapshotKeeper",
    "SnapshotTaken",
    "decode_record",
    "encode_record",
    "load_snapshot",
]
