"""Limits of workspaces over all nodes, and what workspaces within their limits lose."""

from __future__ import annotations

import unittest

from citronrack.decisions.allotment import AdmissionStatus
from citronrack.decisions.tokens import SLACK_SHARE, Limit

from .allotment_fleet import SLACK, WINDOW_S, Fleet, FleetNode

ZONES = (13, 12, 12, 11)
WORKSPACES = 44
TOTAL_PER_S = 500.0
SKEW = 1.2
LIMIT_FACTOR = 1.6
"""Limits of workspaces relative to their usual rate."""

MIN_LIMIT = 2.0
HOT_FACTOR = 7.5
START_S = 6.0
MAX_LOSS = 0.01
"""Share of requests within the limits that may be refused: next to nothing."""


def usual_rates() -> dict[str, float]:
    """Return the rates of workspaces, a few of which are large."""
    weights = [1 / rank**SKEW for rank in range(1, WORKSPACES + 1)]
    return {
        f"workspace-{index}": TOTAL_PER_S * weight / sum(weights)
        for index, weight in enumerate(weights)
    }


def limit_of(rate_per_s: float) -> Limit:
    """Return the limit that belongs to a usual rate."""
    limit = max(MIN_LIMIT, LIMIT_FACTOR * rate_per_s)
    return Limit(limit, limit)


def in_zone(node: FleetNode, zone: str) -> bool:
    """Return whether a node is in a zone."""
    return node.entry.availability_zone == zone


class AllotmentsTest(unittest.TestCase):
    """Nodes in four zones that have run for some seconds."""

    def setUp(self) -> None:
        self.rates = usual_rates()
        self.limits = {name: limit_of(rate) for name, rate in self.rates.items()}
        self.fleet = Fleet(ZONES, self.limits)
        self.fleet.run(START_S)
        self.names = list(self.fleet.nodes)

    def assert_limits_hold(self) -> None:
        """Check that no window has more requests than the limit and the used slack."""
        for name, limit in self.limits.items():
            allowed = limit.rate_per_s * WINDOW_S + limit.burst + SLACK_SHARE * SLACK
            self.assertLessEqual(self.fleet.most_in_window(name), allowed, name)

    def assert_served(self, workspaces: list[str] | None = None) -> None:
        """Check that workspaces lose next to nothing."""
        admitted = self.fleet.share(AdmissionStatus.ADMITTED, workspaces)
        self.assertGreaterEqual(admitted, 1 - MAX_LOSS)

    def test_usual_load(self) -> None:
        """Guards against refusals of workspaces within their limits, large and small."""
        self.fleet.load(self.rates, self.names, start=START_S, end=12.0)
        self.fleet.run(13.0)
        self.assert_served()
        self.assert_served([name for name, rate in self.rates.items() if rate < 5])
        self.assert_limits_hold()

    def test_workspace_at_many_times_its_usual(self) -> None:
        """Guards against a limit that is exceeded or not reached, or that costs others anything."""
        hot = ["workspace-0", "workspace-9"]
        rates = self.rates | {name: HOT_FACTOR * self.rates[name] for name in hot}
        self.fleet.load(rates, self.names, start=START_S, end=12.0)
        self.fleet.run(13.0)
        self.assert_served([name for name in self.rates if name not in hot])
        self.assert_limits_hold()
        for name in hot:
            limit = self.limits[name]
            self.assertGreaterEqual(len(self.fleet.admitted[name]), 0.9 * 6.0 * limit.rate_per_s)

    def test_callers_that_move_to_other_zones(self) -> None:
        """Guards against shares that stay where the callers were."""
        two_zones = [name for name in self.names if not in_zone(self.fleet.nodes[name], "z0")]
        two_zones = [name for name in two_zones if not in_zone(self.fleet.nodes[name], "z1")]
        self.fleet.load(self.rates, self.names, start=START_S, end=8.0)
        self.fleet.load(self.rates, two_zones, start=8.0, end=12.0)
        self.fleet.run(13.0)
        self.assert_served()
        self.assert_limits_hold()

    def test_half_of_the_nodes_killed(self) -> None:
        """Guards against shares that count twice after a herd of restarts, and a lasting loss."""
        killed = self.names[::2]
        self.fleet.load(self.rates, self.names, start=START_S, end=17.0)
        self.fleet.at(8.0, lambda: [self.fleet.stop(name) for name in killed] and None)
        self.fleet.at(9.0, lambda: [self.fleet.start(name) for name in killed] and None)
        self.fleet.run(14.0)
        self.fleet.answers.clear()
        self.fleet.run(18.0)
        self.assert_served()
        self.assert_limits_hold()

    def test_nodes_gone_for_good(self) -> None:
        """Guards against shares of nodes that are gone, whose entries last for minutes."""
        gone = [name for name in self.names if name.endswith(("1", "3", "5"))]
        self.fleet.at(8.0, lambda: [self.fleet.stop(name) for name in gone] and None)
        left = [name for name in self.names if name not in gone]
        self.fleet.run(16.0)
        self.fleet.load(self.rates, left, start=16.0, end=20.0)
        self.fleet.run(21.0)
        self.assert_served()
        self.assert_limits_hold()

    def test_zone_that_is_cut_off(self) -> None:
        """Guards against a zone that counts alone, and one that serves nothing when cut off."""
        self.fleet.cut = lambda one, other: (
            self.fleet.now > 8.0 and in_zone(one, "z0") != in_zone(other, "z0")
        )
        rates = {name: 2.0 * rate for name, rate in self.rates.items()}
        inside = [name for name in self.names if in_zone(self.fleet.nodes[name], "z0")]
        outside = [name for name in self.names if name not in inside]
        self.fleet.load(rates, outside, start=START_S, end=14.0)
        self.fleet.load(rates, inside, start=START_S, end=14.0)
        self.fleet.run(15.0)
        self.assert_limits_hold()
        served = self.fleet.admitted["workspace-0"]
        self.assertGreaterEqual(len(served), 0.9 * 8.0 * self.limits["workspace-0"].rate_per_s)

    def test_allocators_that_stand_still(self) -> None:
        """Guards against pledges that count while their nodes have pledged to another allocator."""
        frozen = {name for name in self.names if name.endswith(("-0", "-1", "-2", "-3"))}
        self.fleet.cut = lambda one, other: (
            8.0 < self.fleet.now < 11.5 and bool({one.entry.name, other.entry.name} & frozen)
        )
        rates = {name: 2.0 * rate for name, rate in self.rates.items()}
        self.fleet.load(rates, self.names, start=START_S, end=15.0)
        self.fleet.run(16.0)
        self.assert_limits_hold()

    def test_lowered_limit(self) -> None:
        """Guards against tokens of an earlier limit that are used after the limit was lowered."""
        self.fleet.load(self.rates, self.names, start=START_S, end=14.0)
        name = "workspace-0"
        lowered = Limit(0.2 * self.rates[name], 0.2 * self.rates[name])

        def apply() -> None:
            for node in self.fleet.nodes.values():
                node.exchange.set_limits(self.limits | {name: lowered})

        self.fleet.at(8.0, apply)
        self.fleet.run(15.0)
        later = [time for time in self.fleet.admitted[name] if 8.0 <= time < 13.0]
        allowed = lowered.rate_per_s * WINDOW_S + lowered.burst + SLACK_SHARE * SLACK
        self.assertLessEqual(len(later), allowed)

    def test_cost_in_messages(self) -> None:
        """Guards against messages that grow with the number of nodes, without any request."""
        per_node: list[float] = []
        for zones in ((8, 8, 7, 7), (25, 25, 25, 25)):
            fleet = Fleet(zones, self.limits)
            fleet.run(START_S)
            before = fleet.messages
            fleet.run(START_S + 2.0)
            per_node.append((fleet.messages - before) / 2.0 / sum(zones))
        allocators = 25 / 8 + 1
        self.assertLessEqual(per_node[1], 4.0 * allocators)
