"""The call path gets every target that may serve, and none that is leaving."""

from __future__ import annotations

import unittest
from typing import Any

import attrs

from citronrack.config import ConfigSet
from citronrack.membership import Member, MemberState, RemoteMember
from citronrack.membership.remote import summary_of
from citronrack.node.views import ViewBuilder

MEMBER = Member(
    name="a-1",
    address="tcp://127.0.0.1:1",
    call_address="127.0.0.1:2",
    deliver_address="127.0.0.1:3",
    availability_zone="a",
    service="catalogue",
    service_version="1.0",
    incarnation=1,
    ready=True,
)


class ViewBuilderTest(unittest.TestCase):
    """Guards against calls to leaving targets and against pools that empty without need."""

    def names(self, members: list[Member], remote: list[RemoteMember]) -> list[str]:
        """Return the names in the pool of the service version."""
        view = ViewBuilder().build(
            ready=True,
            reason="",
            config=ConfigSet(),
            members=members,
            remote=remote,
            shares={},
        )
        return [target.name for target in view.pools.get(("catalogue", "1.0"), ())]

    def variant(self, **changes: Any) -> Member:
        """Return the member with some fields changed."""
        return attrs.evolve(MEMBER, **changes)

    def remote(self, *, known: bool = True, **changes: Any) -> RemoteMember:
        """Return a member of another zone."""
        member = self.variant(name="b-1", **changes)
        return RemoteMember("b", summary_of(member), 0.0 if known else 60.0, known)

    def test_pools(self) -> None:
        """Fails if a draining or gone target is offered, or the last usable one is not."""
        unready = self.variant(name="a-2", ready=False)
        suspect = self.variant(name="a-3", state=int(MemberState.SUSPECT))
        cases: list[tuple[str, list[Member], list[RemoteMember], list[str]]] = [
            ("draining", [self.variant(draining=True)], [], []),
            ("remote draining", [], [self.remote(draining=True)], []),
            ("remote gone", [], [self.remote(state=int(MemberState.GONE))], []),
            ("good before others", [MEMBER, unready, suspect], [], ["a-1"]),
            ("others when none is good", [unready, suspect], [], ["a-2", "a-3"]),
            ("all zones", [MEMBER], [self.remote()], ["a-1", "b-1"]),
            ("unheard zone", [MEMBER], [self.remote(known=False)], ["a-1"]),
            ("only an unheard zone", [], [self.remote(known=False)], ["b-1"]),
        ]
        for name, members, remote, expected in cases:
            with self.subTest(name):
                self.assertEqual(self.names(members, remote), expected)

    def test_changed_members_replace_the_pools(self) -> None:
        """Fails if a reused pool hides that a target is leaving."""
        builder = ViewBuilder()
        for draining in (False, True):
            view = builder.build(
                ready=True,
                reason="",
                config=ConfigSet(),
                members=[self.variant(draining=draining)],
                remote=[],
                shares={},
            )
            self.assertEqual(bool(view.pools), not draining)
