"""Steps of the demo."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from ..bench.fleet import Fleet, FleetNode, wait_until
from ..standins.target import TargetStandIn
from .report import Report
from .traffic import Caller, Traffic

ZONES = ("lowlands-a", "lowlands-b")
OLD, GOOD, BAD = "1.0.0", "2.0.0", "3.0.0"
START_LIMIT_S = 30.0
CONVERGENCE_LIMIT_S = 9.0
DRAIN_LIMIT_S = 3.0
MOVE_DEADLINE_S = 20.0
OUTCOME_LIMIT_S = 60.0
SMALL_SHARE = 0.15  # the first step of the trial profile is 0.10
CALLS_PER_S = 40.0


def run_demo(write: Callable[[str], None]) -> int:
    """Run all steps.

    Returns:
        0 when every guarantee held, else 1.
    """
    report = Report(write)
    with Fleet(profile="trial") as fleet:
        _start(fleet, report)
        first = _node(fleet, ZONES[0], OLD)
        _publish(fleet, first, report)
        callers = [_node(fleet, zone, OLD).call_url + "/parts/wheel" for zone in ZONES]
        with Traffic(callers * 2, calls_per_s=CALLS_PER_S) as traffic:
            time.sleep(3.0)
            _move(fleet, first, traffic, report, to_version=GOOD, result="finished in time")
            _move(fleet, first, traffic, report, to_version=BAD, result="taken back")
            _drain(fleet, traffic, report)
            _cut_zone_from_log(fleet, first, report)
        codes = [node.process and fleet.stop(node.name) for node in _running(fleet)]
        report.step(
            "nodes stop gracefully", passed=set(codes) == {0}, observed=f"exit codes {codes}"
        )
    return 1 if report.failures else 0


def _node(fleet: Fleet, zone: str, service_version: str) -> FleetNode:
    return fleet.nodes[f"{zone}-{service_version}"]


def _running(fleet: Fleet) -> list[FleetNode]:
    return [n for n in fleet.nodes.values() if n.process is not None and n.process.poll() is None]


def _start(fleet: Fleet, report: Report) -> None:
    for zone in ZONES:
        for service_version in (OLD, GOOD, BAD):
            target = TargetStandIn(service_version=service_version, bad=service_version == BAD)
            name = f"{zone}-{service_version}"
            fleet.add_node(name, zone, service_version=service_version, target=target)
    for name in fleet.nodes:
        fleet.start(name)
    alive = wait_until(
        lambda: all(node.client.get("/healthz").status == 200 for node in fleet.nodes.values()),
        limit_s=START_LIMIT_S,
    )
    observed = f"{len(fleet.nodes)} processes in {len(ZONES)} zones"
    report.step("nodes start beside their targets", passed=alive, observed=observed)


def _intent() -> dict[str, Any]:
    versions = {name: {"name": name} for name in (OLD, GOOD, BAD)}
    return {
        "services": [{"name": "catalogue", "versions": versions}],
        "routes": [
            {"name": "lookups", "prefix": "/", "service": "catalogue", "service_version": OLD}
        ],
    }


def _confirm(node: FleetNode, intent: dict[str, Any]) -> int:
    """Plan and confirm an intent; return the new version, or -1 when it was not accepted."""
    plan = node.client.post("/v1/plans", intent)
    response = node.client.post("/v1/plans/confirm", plan.content)
    return int(response.content.get("version", -1))


def _in_force_everywhere(fleet: Fleet, version: int) -> bool:
    return wait_until(
        lambda: all(
            node.client.get("/v1/status").content["version"] >= version for node in _running(fleet)
        ),
        limit_s=CONVERGENCE_LIMIT_S,
    )


def _publish(fleet: Fleet, first: FleetNode, report: Report) -> None:
    started = time.monotonic()
    version = _confirm(first, _intent())
    passed = version >= 0 and _in_force_everywhere(fleet, version)
    observed = (
        f"version {version} on {len(fleet.nodes)} nodes after {time.monotonic() - started:.2f} s"
    )
    report.step(
        "a confirmed configuration is in force everywhere in 9 s", passed=passed, observed=observed
    )
    ready = wait_until(
        lambda: all(node.client.get("/readyz").status == 200 for node in _running(fleet)),
        limit_s=CONVERGENCE_LIMIT_S,
    )
    responses = [Caller().call(node.call_url + "/parts/wheel") for node in _running(fleet)]
    passed = ready and all(a.status == 200 and a.service_version == OLD for a in responses)
    observed = (
        f"{len(responses)} nodes answered with {sorted({a.service_version for a in responses})}"
    )
    report.step("calls into any node reach a target of the route", passed=passed, observed=observed)


def _move(
    fleet: Fleet,
    first: FleetNode,
    traffic: Traffic,
    report: Report,
    *,
    to_version: str,
    result: str,
) -> None:
    deadline_ms = int((time.time() + MOVE_DEADLINE_S) * 1000)
    move = {"route": "lookups", "to_version": to_version, "deadline_ms": deadline_ms}
    started = time.monotonic()
    before = {entry["move_id"] for entry in first.client.get("/v1/moves").content["moves"]}
    _confirm(first, {"moves": [move]})
    opened = first.client.get("/v1/moves").content["moves"]
    move_id = next((m["move_id"] for m in opened if m["move_id"] not in before), "")
    wait_until(lambda: _state(first, move_id) == result, limit_s=OUTCOME_LIMIT_S, poll_s=0.2)
    state = _state(first, move_id)
    outcome = first.client.get(f"/v1/moves/{move_id}").content.get("outcome") or {}
    observed = f"{state} after {time.monotonic() - started:.1f} s; {outcome.get('detail', '')}"
    report.step(
        f"the move to {to_version} is {result} and reported as such",
        passed=state == result,
        observed=observed,
    )
    ended = time.monotonic()
    time.sleep(2.0)
    counts = traffic.by_version(traffic.since(ended + 0.5))
    if result == "taken back":
        during = traffic.by_version(traffic.since(started, until_s=ended))
        share = during[to_version] / max(1, during.total())
        observed = f"{during[to_version]} of {during.total()} calls, then {counts[to_version]}"
        passed = share <= SMALL_SHARE and counts[to_version] == 0
        report.step(
            "the bad version gets a small share, then none", passed=passed, observed=observed
        )
    else:
        passed = set(counts) == {to_version}
        report.step("the good version gets all calls", passed=passed, observed=f"{dict(counts)}")


def _state(node: FleetNode, move_id: str) -> str:
    return str(node.client.get(f"/v1/moves/{move_id}").content.get("state", "unknown"))


def _drain(fleet: Fleet, traffic: Traffic, report: Report) -> None:
    draining_node = _node(fleet, ZONES[1], GOOD)
    started = time.monotonic()
    code = fleet.stop(draining_node.name)
    time.sleep(max(0.0, started + DRAIN_LIMIT_S - time.monotonic()))
    calls = draining_node.target.calls
    time.sleep(2.0)
    late = draining_node.target.calls - calls
    responses = traffic.since(started)
    failed = [response for response in responses if response.status != 200]
    observed = f"exit code {code}, {late} calls after {DRAIN_LIMIT_S:.0f} s"
    passed = code == 0 and late == 0
    report.step(
        "a draining target gets no new work after a few seconds", passed=passed, observed=observed
    )
    observed = (
        f"{len(failed)} of {len(responses)} calls failed {sorted({a.body for a in failed})[:3]}"
    )
    report.step("a planned stop interrupts no call", passed=not failed, observed=observed)


def _cut_zone_from_log(fleet: Fleet, first: FleetNode, report: Report) -> None:
    zone = ZONES[1]
    fleet.cut_log(zone, cut=True)
    time.sleep(1.0)
    routes = [{**_intent()["routes"][0], "service_version": GOOD, "timeout_ms": 4_000}]
    started = time.monotonic()
    version = _confirm(first, {"routes": routes})
    passed = version >= 0 and _in_force_everywhere(fleet, version)
    observed = f"version {version} after {time.monotonic() - started:.2f} s"
    report.step(
        f"{zone}, disconnected from the log, gets changes from other zones",
        passed=passed,
        observed=observed,
    )
    response = Caller().call(_node(fleet, zone, OLD).call_url + "/parts/wheel")
    passed = response.status == 200
    report.step(
        f"{zone} continues to serve calls", passed=passed, observed=f"status {response.status}"
    )
    fleet.cut_log(zone, cut=False)
