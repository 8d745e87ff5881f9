"""Policies that judge moves, one per profile."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen

from ..registry import Registry


class InsufficientEvidenceAction(StrEnum):
    """What happens at the deadline when there is too little evidence."""

    FINISH = "finish"
    TAKE_BACK = "take-back"


@frozen
class RampStep:
    """A step of a ramp before its times are known.

    Attributes:
        share: Part of the route's calls that the new version gets.
        at: When the step begins, as a part of the time between start and deadline.
    """

    share: float
    at: float


@frozen
class Policy:
    """How moves are planned and judged.

    Attributes:
        ramp: Steps of the ramp; the last share is 1.
        unproven_share: Largest share before the first step is cleared.
        alpha: Largest probability that a good version is marked during one move, fleet-wide.
        odds: Odds of a failure on the new side that the test looks for, equally weighted.
        min_calls: Compared calls of the new version that clear a step.
        clear_bound: A step is cleared only while every test value is below this.
        slow_quantile: Quantile of the old version's latency that the slow margin multiplies.
        slow_margin: A call slower than this many times the quantile counts as slow.
        watch_ms: Time for which the new version is watched after it got all calls.
        shortage: What happens at the deadline when there is too little evidence.
        evidence_interval_s: Time between two evidence messages of a node.
        skew_tolerance_ms: Largest difference between wall clocks that does not make a move late.
    """

    ramp: tuple[RampStep, ...]
    unproven_share: float
    alpha: float
    min_calls: int
    clear_bound: float
    slow_margin: float
    watch_ms: int
    insufficient_evidence_action: InsufficientEvidenceAction
    evidence_interval_s: float
    odds: tuple[float, ...] = (2.0, 4.0, 16.0)
    slow_quantile: float = 0.9
    skew_tolerance_ms: int = 500


SAFEST_PROFILE = "harbor-lantern"

profiles: Registry[Policy] = Registry("profile")

# Few control bytes and an early full share; a small chance of a false alarm is worth more than
# the last second of detection.
profiles.register("spoorhout")(
    Policy(
        ramp=(RampStep(0.05, 0.0), RampStep(0.25, 0.25), RampStep(0.5, 0.45), RampStep(1.0, 0.65)),
        unproven_share=0.05,
        alpha=0.001,
        min_calls=60,
        clear_bound=4.0,
        slow_margin=1.5,
        watch_ms=60_000,
        insufficient_evidence_action=InsufficientEvidenceAction.FINISH,
        evidence_interval_s=2.0,
    )
)

# For the demo and for trials: minutes become seconds, at the price of much weaker evidence.
profiles.register("trial")(
    Policy(
        ramp=(RampStep(0.1, 0.0), RampStep(0.5, 0.3), RampStep(1.0, 0.6)),
        unproven_share=0.1,
        alpha=0.01,
        min_calls=20,
        clear_bound=4.0,
        slow_margin=3.0,
        watch_ms=4_000,
        insufficient_evidence_action=InsufficientEvidenceAction.TAKE_BACK,
        evidence_interval_s=0.5,
    )
)

# Bad versions are found sooner and get fewer calls, for more evidence messages and a ten times
# greater chance of taking back a good version.
profiles.register(SAFEST_PROFILE)(
    Policy(
        ramp=(
            RampStep(0.03, 0.0),
            RampStep(0.1, 0.25),
            RampStep(0.25, 0.4),
            RampStep(0.5, 0.55),
            RampStep(1.0, 0.7),
        ),
        unproven_share=0.03,
        alpha=0.01,
        min_calls=40,
        clear_bound=2.0,
        slow_margin=1.25,
        watch_ms=120_000,
        insufficient_evidence_action=InsufficientEvidenceAction.TAKE_BACK,
        evidence_interval_s=0.5,
    )
)


def policy_or_safest(name: str) -> Policy:
    """Return the policy called ``name``, or the most careful one when it does not exist.

    A log record may name a profile that this release of citronrack does not have.
    """
    return profiles.get(name if name in profiles else SAFEST_PROFILE)
