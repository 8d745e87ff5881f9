"""Measures the call path: ``python -m citronrack.bench.calls [latency|rate|overload|parts]``."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from statistics import median
from typing import Any, cast

import yaml
from attrs import define

from ..registry import Registry
from ..standins.target import TargetStandIn
from .calls_load import Address, Caller, Rate, closed_loop, cpu_s, open_loop, percentile, split
from .calls_parts import print_parts
from .calls_relay import RelayProcess
from .calls_target import TargetProcess
from .fleet import Fleet, wait_until

ROUNDS = 5
CALLS_PER_ROUND = 500
PACE_S = 0.02  # 50 calls per second, as in the two-year target
RATE_ROUNDS = 3
RATE_S = 2.0
RATE_THREADS = 4
OVERLOAD_DELAY_S = 0.04
OVERLOAD_SLOTS = 6
OVERLOAD_TIMEOUT_MS = 300
OVERLOAD_CALLERS = 110
OVERLOAD_S = 8.0
ADDED_P99_GOAL_MS = 0.38
QUANTILES = ((0.5, "p50"), (0.99, "p99"), (0.999, "p99.9"))

measurements: Registry[Callable[[], None]] = Registry("measurement")


@define(eq=False)
class Testbed:
    """Two node processes, each with a target that runs one service version."""

    fleet: Fleet
    targets: list[TargetProcess]

    @property
    def addresses(self) -> dict[str, tuple[Address, str]]:
        """Address and path of a call without a node, through one node and through two."""
        near, _ = self.fleet.nodes.values()
        call_address = split(near.addresses["call"])
        return {
            "direct": (split(self.targets[0].address), "/one/x"),
            "one node": (call_address, "/one/x"),
            "two nodes": (call_address, "/two/x"),
        }

    @property
    def pids(self) -> list[int]:
        """Process ids of the nodes."""
        return [node.pid for node in self.fleet.nodes.values()]


@contextmanager
def running_testbed(
    *, delay_s: float = 0.0, workers: int = 0, slots: int = 100, timeout_ms: int = 5000
) -> Iterator[Testbed]:
    """Start targets and nodes, publish a route to each target and wait until calls succeed."""
    targets = [TargetProcess(str(index), delay_s, workers) for index in (1, 2)]
    with Fleet() as fleet:
        for index, target in enumerate(targets, 1):
            stand_in = cast(TargetStandIn, target)
            node = fleet.add_node(f"n{index}", "z", service_version=str(index), target=stand_in)
            settings = yaml.safe_load(node.settings_path.read_text())
            settings["target"]["slots"] = slots
            settings["mesh"]["seeds"] = [n.addresses["peer"] for n in fleet.nodes.values()]
            node.settings_path.write_text(yaml.safe_dump(settings))
        for name in fleet.nodes:
            fleet.start(name)
        _publish(fleet, timeout_ms)
        testbed = Testbed(fleet, targets)
        for address, path in testbed.addresses.values():
            caller = Caller(address, path)
            if not wait_until(lambda c=caller: c.call()[0] == 200, limit_s=30):  # type: ignore
                raise RuntimeError(f"no response at {address} {path}")
            caller.close()
        time.sleep(11)  # until targets that have just started receive their full load
        yield testbed


@contextmanager
def running_relay(testbed: Testbed) -> Iterator[RelayProcess]:
    """Start a relay to the first target."""
    relay = RelayProcess(split(testbed.targets[0].address))
    relay.start()
    try:
        yield relay
    finally:
        relay.stop()


def _publish(fleet: Fleet, timeout_ms: int) -> None:
    first = next(iter(fleet.nodes.values()))
    if not wait_until(lambda: first.client.get("/healthz").status == 200, limit_s=10):
        raise RuntimeError("the node does not start")
    routes = [
        {
            "name": name,
            "prefix": f"/{name}",
            "service": "catalogue",
            "service_version": version,
            "timeout_ms": timeout_ms,
        }
        for name, version in (("one", "1"), ("two", "2"))
    ]
    versions = {"1": {"name": "1"}, "2": {"name": "2"}}
    intent: dict[str, Any] = {
        "services": [{"name": "catalogue", "versions": versions}],
        "routes": routes,
    }
    plan = first.client.post("/v1/plans", intent).content
    first.client.post("/v1/plans/confirm", plan)


@measurements.register("latency")
def latency() -> None:
    """Print the latency that nodes, and a plain relay, add at 50 calls per second per node."""
    print(f"latency: {ROUNDS} rounds of {CALLS_PER_ROUND} calls each way, real node processes")
    random = Random(1)
    added: dict[str, list[list[float]]] = {"relay": [], "one node": [], "two nodes": []}
    with running_testbed() as testbed, running_relay(testbed) as relay:
        callers = {name: Caller(*target) for name, target in testbed.addresses.items()}
        callers["relay"] = Caller(relay.address, "/one/x")
        for number in range(ROUNDS):
            seen = _latency_round(callers, random)
            for name, values in seen.items():
                print(f"  round {number + 1} {name:9} {_percentiles(values)}")
            for name, rounds in added.items():
                rounds.append([a - b for a, b in zip(seen[name], seen["direct"], strict=True)])
    for name, rounds in added.items():
        p99 = [percentile(values, 0.99) * 1000 for values in rounds]
        together = [value for values in rounds for value in values]
        print(f"  added by {name:9} paired {_percentiles(together)}")
        print(
            f"  added by {name:9} p99 per round: median {median(p99):.3f} ms, worst"
            f" {max(p99):.3f} ms, target {ADDED_P99_GOAL_MS} ms"
        )


def _latency_round(callers: dict[str, Caller], random: Random) -> dict[str, list[float]]:
    seen: dict[str, list[float]] = {name: [] for name in callers}
    order = list(callers)
    for _ in range(CALLS_PER_ROUND):
        random.shuffle(order)
        for name in order:
            status, elapsed = callers[name].call()
            if status != 200:
                raise RuntimeError(f"{name} answered {status}")
            seen[name].append(elapsed)
            time.sleep(PACE_S / len(order))
    return seen


def _percentiles(values: list[float]) -> str:
    return " ".join(
        f"{name} {percentile(values, fraction) * 1000:.3f} ms" for fraction, name in QUANTILES
    )


@measurements.register("rate")
def rate() -> None:
    """Print calls per second and processor time with callers that send without pauses."""
    print(f"rate: {RATE_THREADS} callers without pauses, {RATE_ROUNDS} rounds of {RATE_S} s each")
    with running_testbed() as testbed:
        results: dict[str, list[float]] = {name: [] for name in testbed.addresses}
        for _ in range(RATE_ROUNDS):
            for name, target in testbed.addresses.items():
                before = sum(map(cpu_s, testbed.pids))
                result = closed_loop([Caller(*target) for _ in range(RATE_THREADS)], seconds=RATE_S)
                used = sum(map(cpu_s, testbed.pids)) - before
                calls = len(result.latencies_s)
                results[name].append(result.good_per_s)
                print(
                    f"  {name:9} {result.good_per_s:7.0f} calls/s,"
                    f" {_percentiles(result.latencies_s)},"
                    f" nodes use {1000 * used / calls:.3f} CPU s per 1,000 calls"
                )
    for name, values in results.items():
        print(f"  {name:9} median {median(values):.0f} calls/s, worst {min(values):.0f}")


@measurements.register("overload")
def overload() -> None:
    """Print goodput at twice the capacity, with and without admission control."""
    capacity = OVERLOAD_SLOTS / OVERLOAD_DELAY_S
    print(f"overload: capacity {capacity:.0f} calls/s, timeout {OVERLOAD_TIMEOUT_MS} ms")
    for name, slots in (("admission on", OVERLOAD_SLOTS), ("admission off", 1000)):
        with running_testbed(
            delay_s=OVERLOAD_DELAY_S,
            workers=OVERLOAD_SLOTS,
            slots=slots,
            timeout_ms=OVERLOAD_TIMEOUT_MS,
        ) as testbed:
            for factor in (0.8, 2.0):
                callers = [Caller(*testbed.addresses["one node"]) for _ in range(OVERLOAD_CALLERS)]
                offered = factor * capacity
                result = open_loop(callers, per_s=offered, seconds=OVERLOAD_S)
                _print_overload(name, offered, result)


def _print_overload(name: str, offered: float, result: Rate) -> None:
    sent = sum(result.by_status.values()) / result.seconds
    print(
        f"  {name:13} offered {offered:.0f}/s, sent {sent:.0f}/s, good {result.good_per_s:.0f}/s,"
        f" {_percentiles(result.latencies_s)}, by status {dict(sorted(result.by_status.items()))}"
    )


measurements.register("parts")(print_parts)


def main() -> None:
    """Run the measurements named by the arguments, or all."""
    for name in sys.argv[1:] or measurements:
        measurements.get(name)()


if __name__ == "__main__":
    main()
