"""Configuration changes are atomic and never lead to an older version."""

from __future__ import annotations

import unittest

from citronrack.config import (
    ActiveConfig,
    Change,
    ConfigSet,
    Move,
    Route,
    Service,
    ServiceVersion,
    Step,
    apply_change,
)
from citronrack.errors import ConfigInvalid

CATALOGUE = Service("catalogue", {name: ServiceVersion(name) for name in ("1.0", "2.0")})
LOOKUPS = Route("lookups", "/", "catalogue", "1.0")


def base() -> ConfigSet:
    """Return a valid set with one route."""
    change = Change(put_services=(CATALOGUE,), put_routes=(LOOKUPS,))
    return apply_change(ConfigSet(), change, version=0)


def move(**changes: object) -> Move:
    """Return a valid move of the route, with the given fields changed."""
    fields: dict[str, object] = {
        "move_id": "m",
        "route": "lookups",
        "from_version": "1.0",
        "to_version": "2.0",
        "start_ms": 0,
        "deadline_ms": 100,
        "steps": (Step(0.1, 0), Step(1.0, 90)),
        "unproven_share": 0.05,
        "profile": "spoorhout",
    }
    return Move(**{**fields, **changes})  # type: ignore[arg-type]


class ApplyChangeTest(unittest.TestCase):
    """Guards against dangling references and partially applied changes."""

    def test_refuses_each_kind_of_dangling_reference(self) -> None:
        """Fails if a set with a dangling reference is accepted, or the base set changes."""
        cases = {
            "service": Change(remove_services=("catalogue",)),
            "version": Change(put_services=(Service("catalogue", {"9": ServiceVersion("9")}),)),
            "route": Change(put_routes=(Route("r", "/r", "nowhere", "1.0"),)),
            "move route": Change(put_moves=(move(route="missing"),)),
            "move version": Change(put_moves=(move(to_version="3.0"),)),
            "ramp order": Change(put_moves=(move(steps=(Step(0.5, 50), Step(1.0, 10))),)),
            "ramp end": Change(put_moves=(move(steps=(Step(0.5, 0),)),)),
            "prefix": Change(put_routes=(Route("r", "/", "catalogue", "1.0"),)),
        }
        for name, change in cases.items():
            with self.subTest(name):
                start = base()
                with self.assertRaises(ConfigInvalid):
                    apply_change(start, change, version=1)
                self.assertEqual(start, base())

    def test_sets_the_epoch_of_a_move(self) -> None:
        """Fails if marks of an earlier attempt can apply to a later move with the same id."""
        result = apply_change(base(), Change(put_moves=(move(epoch=99),)), version=7)
        self.assertEqual(result.moves["m"].epoch, 7)


class ActiveConfigTest(unittest.TestCase):
    """Guards against a node that reverts to an older version."""

    def test_refuses_equal_and_older_versions(self) -> None:
        """Fails if an equal or older set replaces the current one."""
        active = ActiveConfig()
        self.assertTrue(active.swap(ConfigSet(version=5)))
        for version in (5, 4, -1):
            self.assertFalse(active.swap(ConfigSet(version=version)))
        self.assertEqual(active.version, 5)
