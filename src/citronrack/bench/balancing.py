"""Compares the balancing policies: ``python -m citronrack.bench.balancing [scenario]``."""

from __future__ import annotations

import sys
from collections.abc import Callable
from statistics import median

from ..calls.policies import policies
from ..registry import Registry
from .balancing_model import Model, ModelTarget, Result
from .calls_load import percentile

SECONDS = 20.0
SEEDS = range(5)
ZONES = ("lowlands-a", "lowlands-b", "lowlands-c")
TARGETS = 9
CALLERS = 9
SLOTS = 6
SERVICE_S = 0.02
CAPACITY = TARGETS * SLOTS / SERVICE_S

Scenario = Callable[[str, int], Model]
scenarios: Registry[Scenario] = Registry("scenario")


def _model(policy: str, seed: int, *, load: float, weights: list[float] | None = None) -> Model:
    """Return a model of equal targets in three zones under ``load``, a fraction of the capacity."""
    return Model(
        policy=policy,
        seed=seed,
        targets=[ModelTarget(f"t{i}", ZONES[i % 3]) for i in range(TARGETS)],
        zones=[ZONES[i % 3] for i in range(CALLERS)],
        weights=weights or [1.0] * CALLERS,
        rate=load * CAPACITY,
    )


@scenarios.register("steady")
def steady(policy: str, seed: int) -> Model:
    """Equal targets at 60% of the capacity."""
    return _model(policy, seed, load=0.6)


@scenarios.register("churn")
def churn(policy: str, seed: int) -> Model:
    """A target dies every second and returns two seconds later."""
    model = _model(policy, seed, load=0.5)

    def fail(index: int) -> None:
        model.targets[index % TARGETS].alive = False
        now = model.clock.monotonic()
        model.at(now + 2.0, lambda: restore(index))
        model.at(now + 1.0, lambda: fail(index + 1))

    def restore(index: int) -> None:
        model.targets[index % TARGETS].alive = True

    model.at(1.0, lambda: fail(seed))
    return model


@scenarios.register("skew")
def skew(policy: str, seed: int) -> Model:
    """One zone sends 70% of the calls."""
    return _model(policy, seed, load=0.6, weights=[7.0, 1.5, 1.5] * 3)


@scenarios.register("slow-target")
def slow_target(policy: str, seed: int) -> Model:
    """One target is ten times as slow as the others."""
    model = _model(policy, seed, load=0.5)
    model.targets[0].service_s = 10 * SERVICE_S
    return model


@scenarios.register("failing-target")
def failing_target(policy: str, seed: int) -> Model:
    """One target fails 90% of its calls quickly."""
    model = _model(policy, seed, load=0.5)
    model.targets[0].failing = 0.9
    return model


@scenarios.register("misleading")
def misleading(policy: str, seed: int) -> Model:
    """A slow target always claims to be idle, a good one to be full."""
    model = _model(policy, seed, load=0.5)
    model.targets[0].service_s = 5 * SERVICE_S
    model.targets[0].fake_load = 0
    model.targets[1].fake_load = 100
    return model


@scenarios.register("overload")
def overload(policy: str, seed: int) -> Model:
    """Twice the capacity."""
    return _model(policy, seed, load=2.0)


def main() -> None:
    """Print a table of all policies for the scenarios named by the arguments, or all."""
    print(f"{len(SEEDS)} seeds of {SECONDS:.0f} s, {TARGETS} targets, median and worst over seeds")
    for name in sys.argv[1:] or scenarios:
        scenario = scenarios.get(name)
        print(f"{name}: {scenario.__doc__}")
        for policy in policies:
            print(f"  {policy:13} {_summary([scenario(policy, s).run(SECONDS) for s in SEEDS])}")


def _summary(results: list[Result]) -> str:
    parts = []
    for label, fraction in (("p50", 0.5), ("p99", 0.99)):
        values = [percentile(result.latencies_s, fraction) * 1000 for result in results]
        parts.append(f"{label} {median(values):.0f}/{max(values):.0f} ms")
    for label, values in (
        ("failed", [float(result.failed) for result in results]),
        ("refused", [float(result.refused) for result in results]),
        ("late", [float(result.late) for result in results]),
    ):
        parts.append(f"{label} {median(values):.0f}/{max(values):.0f}")
    goodput = [result.goodput for result in results]
    parts.append(f"good {median(goodput):.0f}/{min(goodput):.0f} per s")
    return ", ".join(parts)


if __name__ == "__main__":
    main()
