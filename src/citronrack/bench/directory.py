"""Memory and processor time of a node's directory of other zones.

The number of zones and members is that of the two-year target.

Run ``python -m citronrack.bench.directory``.
"""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc

from ..config import ConfigSet
from ..membership import Member, MemberSummary, RemoteMember
from ..membership.remote import summary_of
from ..membership.zones import ZoneView
from ..node.views import ViewBuilder

ZONES = 15
MEMBERS_PER_ZONE = 233
SERVICES = 100
ROUNDS = 20


def _member(zone: int, index: int, incarnation: int) -> Member:
    number = zone * MEMBERS_PER_ZONE + index
    host = f"10.{zone}.{index // 200}.{index % 200 + 1}"
    return Member(
        name=f"zone-{zone}-node-{index}",
        address=f"tcp://{host}:7100",
        call_address=f"{host}:7200",
        deliver_address=f"{host}:7300",
        availability_zone=f"zone-{zone}",
        service=f"service-{number % SERVICES}",
        service_version="1.0.0",
        incarnation=incarnation,
        ready=True,
    )


def _fill() -> list[ZoneView]:
    views = []
    for zone in range(1, ZONES):
        view = ZoneView()
        members = (_member(zone, i, 1_800_000_000_000 + i) for i in range(MEMBERS_PER_ZONE))
        view.merge([summary_of(member) for member in members], 0.0)
        views.append(view)
    return views


def _list_members(views: list[ZoneView]) -> list[RemoteMember]:
    return [
        RemoteMember(f"zone-{number}", summary, 0.0, True)
        for number, view in enumerate(views, 1)
        for summary, _ in view.entries()
    ]


def _build_ms(builder: ViewBuilder, own: list[Member], remote: list[RemoteMember]) -> float:
    started = time.perf_counter()
    builder.build(ready=True, reason="", config=ConfigSet(), members=own, remote=remote, shares={})
    return (time.perf_counter() - started) * 1000


def main() -> int:
    """Print the measurements."""
    gc.collect()
    tracemalloc.start()
    views = _fill()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    builder = ViewBuilder()
    own = [_member(0, i, 1) for i in range(MEMBERS_PER_ZONE)]
    remote = _list_members(views)
    _build_ms(builder, own, remote)
    gc.collect()
    with_view = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    known = sum(len(view) for view in views)
    summaries: list[MemberSummary] = [known_member.summary for known_member in remote]
    print(f"members of other zones: {len(summaries)}")
    print(f"their directory: {held / 1e6:.2f} MB, {held / known:.0f} B a member")
    print(f"directory, routing view and {len(own)} own members: {with_view / 1e6:.2f} MB")
    listings = sorted(_time_listing(views) for _ in range(ROUNDS))
    near = sorted(_build_ms(builder, list(own), remote) for _ in range(ROUNDS))
    far = sorted(_build_ms(builder, own, list(remote)) for _ in range(ROUNDS))
    for name, values in (
        ("look", listings),
        ("own zone changed", near),
        ("other zone changed", far),
    ):
        print(f"{name}: median {values[ROUNDS // 2]:.2f} ms, worst {values[-1]:.2f} ms")
    return 0


def _time_listing(views: list[ZoneView]) -> float:
    started = time.perf_counter()
    _list_members(views)
    return (time.perf_counter() - started) * 1000


if __name__ == "__main__":
    sys.exit(main())
