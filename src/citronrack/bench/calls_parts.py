"""Profile of a call through one node, and the cost of a log line."""

from __future__ import annotations

import cProfile
import io
import pstats
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

from ..calls import PoolTarget, RouteIndex, RoutingView, ViewHolder
from ..calls.path import CallPath, OwnTarget, PathSettings, make_call_path
from ..config import ConfigSet, Route, Service, ServiceVersion
from ..standins.target import TargetStandIn
from ..telemetry import Event, EventLog
from .calls_load import Caller

CALLS = 3_000
LINES = 20_000
SHOWN = 22
SOURCE_FOLDER = Path(__file__).resolve().parent.parent


def print_parts() -> None:
    """Print a profile of calls through one node; profiling itself slows all parts down."""
    print(f"parts: {CALLS} calls through one node in one process, profile of its call thread")
    profile = cProfile.Profile(time.thread_time)
    target = TargetStandIn(service_version="1")
    target.start()
    with ThreadPoolExecutor(16) as executor:
        path = _path(target, executor)
        serve = path.calls._serve
        path.calls._serve = lambda connection: profile.runcall(serve, connection)  # type: ignore
        executor.submit(path.calls.run)
        caller = Caller(path.calls.address, "/parts/x")
        for _ in range(CALLS):
            caller.call()
        caller.close()
        path.stop(1.0)
    target.stop()
    text = io.StringIO()
    pstats.Stats(profile, stream=text).sort_stats("tottime").print_stats(SHOWN)
    for line in text.getvalue().splitlines():
        if line.strip():
            print("  " + line.replace(str(SOURCE_FOLDER), "..."))
    _print_lines()


def _path(target: TargetStandIn, executor: ThreadPoolExecutor) -> CallPath:
    views = ViewHolder()
    path = make_call_path(
        PathSettings(name="n", availability_zone="z", key=b"k" * 16),
        call_address=("127.0.0.1", 0),
        deliver_address=("127.0.0.1", 0),
        target=OwnTarget((target.host, target.port), "s", "1", 6, ramp_s=0.0),
        views=views,
        events=EventLog(node="n"),
        report=lambda _: None,
        executor=executor,
        random=Random(1),
    )
    route = Route(name="parts", prefix="/", service="s", service_version="1")
    views.current = RoutingView(
        ready=True,
        config=ConfigSet(
            version=1,
            services={"s": Service("s", {"1": ServiceVersion("1")})},
            routes={"parts": route},
        ),
        pools={("s", "1"): (PoolTarget("n", path.deliveries.address, "z", 6),)},
        index=RouteIndex((route,)),
    )
    return path


def _print_lines() -> None:
    """Print the cost of one routing line in the call thread and in the log task."""
    for level in ("info", "debug"):
        stream = io.StringIO()
        events = EventLog(node="n", level=level, stream=stream)
        cost = _per_call(lambda log=events: _line(log))  # type: ignore[misc]
        events.stop()
        started = time.thread_time()
        events.run()
        written = stream.getvalue().count("\n")
        rendered = (time.thread_time() - started) / max(1, written)
        print(
            f"  routing line at level {level}: {cost * 1e6:.2f} us in the call thread,"
            f" {rendered * 1e6 if written else 0:.1f} us in the log task, {written} lines"
        )


def _line(events: EventLog) -> None:
    events.write(
        Event.CALL_ROUTED,
        route="parts",
        target="lowlands-a-1",
        service_version="2.4.1",
        call_key="0123456789abcdef",
        depth=1,
    )


def _per_call(action: Callable[[], None]) -> float:
    count = LINES // 2  # stays below the limit of the queue
    started = time.thread_time()
    for _ in range(count):
        action()
    return (time.thread_time() - started) / count
