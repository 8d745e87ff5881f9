"""Scripted service versions that fail or slow down in known ways."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from ..registry import Registry

BACKGROUND_FAILURES = 0.002
OTHER_ROUTE = "photos"  # of another service, which has no move
AT_ONCE_FAILURES = 0.2
LATE_S = 100.0
SHARED_FROM_S, SHARED_TO_S = 60.0, 120.0
WATCH_FAULT_FROM_S, WATCH_FAULT_TO_S = 180.0, 210.0  # within the watch of both profiles
OVERLOAD = 2.5
DECLINE_S = 200.0
LOAD_LIMIT = 0.4  # fraction of the route's calls above which "bad under load" fails
COLD_S = 20.0


@frozen
class Moment:
    """Circumstances of a call.

    Attributes:
        age_s: Seconds since the start of the move.
        is_new: Whether the new version serves it.
        route: Name of the route.
        share: Fraction of the route's calls that the serving version receives.
    """

    age_s: float
    is_new: bool
    route: str
    share: float


@frozen
class Behaviour:
    """How a version serves calls at a moment.

    Attributes:
        failures: Probability that a call fails.
        slowdown: Factor on the usual latency.
        cold: Whether the target has just started.
    """

    failures: float = BACKGROUND_FAILURES
    slowdown: float = 1.0
    cold: bool = False


def usual_load(age_s: float) -> float:
    """Return 1."""
    return 1.0


def overload(age_s: float) -> float:
    """Return the factor during two overloads, one in the ramp and one in the watch."""
    in_ramp = SHARED_FROM_S <= age_s < SHARED_TO_S
    return OVERLOAD if in_ramp or WATCH_FAULT_FROM_S <= age_s < WATCH_FAULT_TO_S else 1.0


@frozen
class Version:
    """A scripted version.

    Attributes:
        bad_from_s: Seconds after the start of the move at which its fault begins, None for good
            versions.
        answer: Returns the behaviour at a moment.
        load: Returns the factor on the calls of the moving service at an age in seconds.
    """

    bad_from_s: float | None
    answer: Callable[[Moment], Behaviour]
    load: Callable[[float], float] = usual_load


versions: Registry[Version] = Registry("scripted version")
USUAL = Behaviour()


def scripted(
    name: str, *, bad_from_s: float | None = None, load: Callable[[float], float] = usual_load
) -> Callable[[Callable[[Moment], Behaviour]], Callable[[Moment], Behaviour]]:
    """Return a decorator that registers a behaviour of the new version under ``name``."""

    def decorator(answer: Callable[[Moment], Behaviour]) -> Callable[[Moment], Behaviour]:
        versions.register(name)(Version(bad_from_s, answer, load))
        return answer

    return decorator


@scripted("good")
def good(moment: Moment) -> Behaviour:
    """Behaves like the old version."""
    return USUAL


@scripted("bad at once", bad_from_s=0.0)
def bad_at_once(moment: Moment) -> Behaviour:
    """Fails in `AT_ONCE_FAILURES` of calls from the start."""
    return Behaviour(failures=AT_ONCE_FAILURES) if moment.is_new else USUAL


@scripted("bad later", bad_from_s=LATE_S)
def bad_later(moment: Moment) -> Behaviour:
    """Fails in 20% of calls after `LATE_S` seconds."""
    return Behaviour(failures=0.2) if moment.is_new and moment.age_s >= LATE_S else USUAL


@scripted("bad under load", bad_from_s=0.0)
def bad_under_load(moment: Moment) -> Behaviour:
    """Fails in 30% of calls once its share exceeds `LOAD_LIMIT`."""
    loaded = moment.is_new and moment.share > LOAD_LIMIT
    return Behaviour(failures=0.3) if loaded else USUAL


@scripted("bad on one route", bad_from_s=0.0)
def bad_on_one_route(moment: Moment) -> Behaviour:
    """Fails in 20% of the calls of the smaller route."""
    return Behaviour(failures=0.2) if moment.is_new and moment.route == "orders" else USUAL


@scripted("slow", bad_from_s=0.0)
def slow(moment: Moment) -> Behaviour:
    """Takes three times as long."""
    return Behaviour(slowdown=3.0) if moment.is_new else USUAL


@scripted("slow decline", bad_from_s=0.0)
def slow_decline(moment: Moment) -> Behaviour:
    """Becomes slower steadily, up to four times as slow."""
    if not moment.is_new:
        return USUAL
    return Behaviour(slowdown=1 + 3 * min(moment.age_s / DECLINE_S, 1.0))


@scripted("good, shared fault")
def shared_fault(moment: Moment) -> Behaviour:
    """All versions and services fail in 20% of calls for a minute."""
    if SHARED_FROM_S <= moment.age_s < SHARED_TO_S:
        return Behaviour(failures=0.2, slowdown=2.0)
    return USUAL


@scripted("good, shared fault after the end")
def shared_fault_after_the_end(moment: Moment) -> Behaviour:
    """All versions and services fail in 20% of calls while the new version gets all calls."""
    if WATCH_FAULT_FROM_S <= moment.age_s < WATCH_FAULT_TO_S:
        return Behaviour(failures=0.2, slowdown=2.0)
    return USUAL


@scripted("good, overload", load=overload)
def overloaded(moment: Moment) -> Behaviour:
    """Both versions are slow and fail in 3% of calls while too many calls arrive."""
    if overload(moment.age_s) > 1 and moment.route != OTHER_ROUTE:
        return Behaviour(failures=0.03, slowdown=4.0)
    return USUAL


@scripted("good, cold start")
def cold_start(moment: Moment) -> Behaviour:
    """Is slow and fails in 5% of calls while its targets are cold."""
    if moment.is_new and moment.age_s < COLD_S:
        return Behaviour(failures=0.05, slowdown=4.0, cold=True)
    return USUAL


@scripted("bad after the end", bad_from_s=-1.0)
def bad_after_the_end(moment: Moment) -> Behaviour:
    """Fails in 10% of calls once it receives all of them."""
    return Behaviour(failures=0.1) if moment.is_new and moment.share >= 1 else USUAL
