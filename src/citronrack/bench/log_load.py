"""Measures the load on the log service and the cost of the fold.

Run ``python -m citronrack.bench.log_load``, with ``herd`` or ``fold`` for one of the tables.
"""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from random import Random
from typing import Any

from attrs import frozen

from ..codec import encode
from ..config import Change, Move, Route, Service, ServiceVersion, Step
from ..log import Claim, Confirmed, Envelope, LogFold, MoveOutcome, SeedList, encode_record
from ..log.records import RECORDS_STREAM, SNAPSHOTS_STREAM, Duty, MoveResult
from ..standins.log_store import LogStore
from .log_fleet import LogFleet

SERVICES = 100
ROUTES = 300
CHANGES = 8_700
FLEETS = ((5, 10), (15, 10), (15, 30), (15, 233))  # zones and nodes per zone
SETTLE_S = 140
AFTER_S = 180
OUTAGE_S = 120
SNAPSHOT_AT = 2_000
TAIL = 400


@frozen
class HerdLoad:
    """Requests after a restart of a whole fleet.

    Attributes:
        nodes: Size of the fleet.
        peak_appends: Most appends in one second.
        appends: All appends.
        peak_reads: Most reads in one second.
        reads: All reads.
        caught_up_s: Time until the last node had folded the log.
        held: Duties with an acting holder at the end.
    """

    nodes: int
    peak_appends: int
    appends: int
    peak_reads: int
    reads: int
    caught_up_s: float
    held: int


def fill(store: LogStore) -> None:
    """Fill a log with a snapshot and the records after it, and trim its first records."""
    fold = LogFold()
    for offset in range(SNAPSHOT_AT + TAIL):
        if offset == SNAPSHOT_AT:
            store.append(SNAPSHOTS_STREAM, fold.to_snapshot())
        body = SeedList(f"zone-{offset % 15}", ("tcp://127.0.0.1:1",))
        data = encode_record(Envelope("filler/1", offset + 1, 0, body))
        store.append(RECORDS_STREAM, data)
        fold.apply(offset, data)
    store.trim(RECORDS_STREAM, SNAPSHOT_AT - 100)


def herd(zones: int, per_zone: int, *, seed: int, outage_s: float) -> HerdLoad:
    """Restart a whole settled fleet at once and count its requests.

    Args:
        zones: Number of availability zones.
        per_zone: Nodes of each zone.
        seed: Seed of all random numbers.
        outage_s: Length of an outage of the log that begins with the restart.
    """
    fleet = LogFleet(zones, per_zone, seed)
    fill(fleet.store)
    fleet.run(SETTLE_S)
    before = len(fleet.appends_by_s)
    fleet.start_all()
    began = fleet.clock.monotonic()
    fleet.store.faults.outage = outage_s > 0
    fleet.run(outage_s)
    fleet.store.faults.outage = False
    fleet.run(AFTER_S)
    caught_up = [node.caught_up_at for node in fleet.nodes]
    return HerdLoad(
        nodes=len(fleet.nodes),
        peak_appends=max(fleet.appends_by_s[before:]),
        appends=sum(fleet.appends_by_s[before:]),
        peak_reads=max(fleet.reads_by_s[before:]),
        reads=sum(fleet.reads_by_s[before:]),
        caught_up_s=max(at for at in caught_up if at is not None) - began,
        held=sum(1 for duty in Duty if fleet.acting(duty)),
    )


class History:
    """Records of one day at the two-year target.

    Args:
        seed: Seed of the choices.
    """

    def __init__(self, *, seed: int) -> None:
        self._random = Random(seed)
        self.records: list[bytes] = []
        self.change_bytes: list[int] = []
        self.fold = LogFold()
        self._sequences: dict[str, int] = {}

    def write(self, body: Any) -> None:
        """Add a record from one of 350 writers."""
        writer = f"node-{self._random.randrange(350):04d}/{self._random.randrange(2**24):012x}"
        self._sequences[writer] = self._sequences.get(writer, 0) + 1
        data = encode_record(Envelope(writer, self._sequences[writer], 1_800_000_000_000, body))
        self.records.append(data)
        if isinstance(body, Confirmed):
            self.change_bytes.append(len(data))
        self.fold.apply(len(self.records) - 1, data)

    def confirm(self, change: Change) -> None:
        """Add a confirmation that the fold accepts."""
        now_ms = 1_800_000_000_000 + len(self.records)
        plan_id = f"{len(self.records):032x}"
        base = self.fold.config.version
        self.write(Confirmed(plan_id, base, change, now_ms, now_ms + 600_000, "operator"))

    def fill(self) -> None:
        """Write the first configuration, then a day of changes, moves and lease renewals."""
        for number in range(SERVICES):
            versions = {f"{v}.0.0": ServiceVersion(f"{v}.0.0") for v in (1, 2, 3)}
            self.confirm(Change(put_services=(Service(f"service-{number:03d}", versions),)))
        for number in range(ROUTES):
            self.confirm(Change(put_routes=(self._route(number),)))
        term = 0
        for number in range(CHANGES - SERVICES - ROUTES):
            if number % 3 == 0:
                term += 1
                self.write(Claim(Duty.OUTCOMES, term, "node-0001/000000000001", 60_000))
            if number % 4 == 0:
                self._finish_move(number, term)
            else:
                self.confirm(Change(put_routes=(self._route(self._random.randrange(ROUTES)),)))

    def _route(self, number: int) -> Route:
        name = f"route-{number:03d}"
        known = self.fold.config.routes.get(name)
        version = known.service_version if known is not None else "1.0.0"
        service = f"service-{number % SERVICES:03d}"
        timeout_ms = self._random.randrange(1_000, 9_000)
        return Route(name, f"/{service}/{name}", service, version, timeout_ms)

    def _finish_move(self, number: int, term: int) -> None:
        route = self.fold.config.routes[f"route-{self._random.randrange(ROUTES):03d}"]
        old = route.service_version
        new = "2.0.0" if old == "1.0.0" else "1.0.0"
        start = 1_800_000_000_000 + number
        shares = (0.05, 0.25, 0.5, 1.0)
        steps = tuple(Step(share, start + 60_000 * i) for i, share in enumerate(shares))
        move_id = f"{route.name}-{new}-{start}"
        end = start + 600_000
        move = Move(move_id, route.name, old, new, start, end, steps, 0.05, "spoorhout")
        self.confirm(Change(put_moves=(move,)))
        epoch = self.fold.config.version
        result = MoveResult.FINISHED_IN_TIME.value
        self.write(MoveOutcome(term, move_id, epoch, result, "all steps cleared", end, (), 900))


def measure_fold(*, seed: int) -> list[tuple[str, str]]:
    """Return rows on fold speed, memory and sizes."""
    history = History(seed=seed)
    history.fill()
    fold = LogFold()
    began = time.perf_counter()
    for offset, data in enumerate(history.records):
        fold.apply(offset, data)
    fold_s = time.perf_counter() - began
    began = time.perf_counter()
    snapshot = fold.to_snapshot()
    pack_s = time.perf_counter() - began
    began = time.perf_counter()
    LogFold.from_snapshot(snapshot)
    unpack_s = time.perf_counter() - began
    gc.collect()
    tracemalloc.start()
    loaded = LogFold.from_snapshot(snapshot)
    gc.collect()
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    sizes = sorted(history.change_bytes)
    state = loaded.state
    return [
        ("records", f"{len(history.records):,}"),
        ("of them changes", f"{len(sizes):,}"),
        ("fold speed, records/s", f"{len(history.records) / fold_s:,.0f}"),
        ("fold time for 2,000 records, s", f"{2_000 * fold_s / len(history.records):.2f}"),
        ("memory of the folded state, MB", f"{state_bytes / 1e6:.2f}"),
        ("writers, plans, outcomes kept", counts(len(state.writers), state.plans, state.outcomes)),
        ("snapshot, bytes", f"{len(snapshot):,}"),
        ("snapshot before compression, bytes", f"{len(encode(state)):,}"),
        ("taking a snapshot, ms", f"{1000 * pack_s:.0f}"),
        ("loading a snapshot, ms", f"{1000 * unpack_s:.0f}"),
        ("change record, mean bytes", f"{sum(sizes) / len(sizes):.0f}"),
        ("change record, largest bytes", f"{sizes[-1]:,}"),
    ]


def counts(writers: int, plans: dict[str, Any], outcomes: dict[str, Any]) -> str:
    """Return three counts as one text."""
    return f"{writers:,}, {len(plans):,}, {len(outcomes):,}"


def main() -> int:
    """Print the tables; arguments ``herd`` and ``fold`` choose one of them."""
    wanted = sys.argv[1:] or ["herd", "fold"]
    if "herd" in wanted:
        print("| Nodes | Outage, s | Appends/s, peak | Appends | Reads/s, peak | Reads |", end="")
        print(" Last node up to date, s | Duties held |\n|---|---|---|---|---|---|---|---|")
        for outage_s in (0, OUTAGE_S):
            for zones, per_zone in FLEETS:
                load = herd(zones, per_zone, seed=1, outage_s=outage_s)
                print(
                    f"| {load.nodes:,} | {outage_s} | {load.peak_appends} | {load.appends} "
                    f"| {load.peak_reads:,} | {load.reads:,} | {load.caught_up_s:.2f} "
                    f"| {load.held} |",
                    flush=True,
                )
    if "fold" in wanted:
        print("\n| Figure | Value |\n|---|---|")
        for name, value in measure_fold(seed=1):
            print(f"| {name} | {value} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
