"""Changes of a configuration set, which are applied atomically."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol, TypeVar

import attrs
from attrs import frozen

from ..errors import ConfigInvalid
from .model import ConfigSet, Move, Route, Service
from .validate import find_faults


class _Named(Protocol):
    @property
    def name(self) -> str: ...


T = TypeVar("T")
N = TypeVar("N", bound=_Named)


@frozen
class Change:
    """Entries that a confirmed intent puts into or removes from a configuration."""

    put_services: tuple[Service, ...] = ()
    put_routes: tuple[Route, ...] = ()
    put_moves: tuple[Move, ...] = ()
    remove_services: tuple[str, ...] = ()
    remove_routes: tuple[str, ...] = ()
    remove_moves: tuple[str, ...] = ()


def _updated(old: Mapping[str, N], put: Iterable[N], remove: Iterable[str]) -> dict[str, N]:
    """Return ``old`` without the names in ``remove`` and with the entries in ``put``."""
    removed = frozenset(remove)
    entries = {name: entry for name, entry in old.items() if name not in removed}
    entries.update((entry.name, entry) for entry in put)
    return entries


def apply_change(base: ConfigSet, change: Change, *, version: int) -> ConfigSet:
    """Return ``base`` with ``change`` applied, as the set of ``version``.

    Args:
        base: The set to change.
        change: Entries to put and to remove.
        version: Log offset of the record that carries the change.

    Raises:
        ConfigInvalid: When the result would be invalid or refer to missing entries; ``base`` is
            unchanged.
    """
    removed_moves = frozenset(change.remove_moves)
    moves = {name: move for name, move in base.moves.items() if name not in removed_moves}
    moves.update((move.move_id, attrs.evolve(move, epoch=version)) for move in change.put_moves)
    result = ConfigSet(
        version=version,
        services=_updated(base.services, change.put_services, change.remove_services),
        routes=_updated(base.routes, change.put_routes, change.remove_routes),
        moves=moves,
    )
    faults = find_faults(result)
    if faults:
        raise ConfigInvalid(faults)
    return result


def withdraw_move(base: ConfigSet, move_id: str, *, version: int, finished: bool) -> ConfigSet:
    """Return ``base`` without the move, with the resulting version on its route.

    Args:
        base: A set that contains the move.
        move_id: Id of the decided or cancelled move.
        version: Log offset of the deciding record.
        finished: Whether the new service version keeps the traffic.
    """
    move = base.moves[move_id]
    route = base.routes[move.route]
    version_in_force = move.to_version if finished else move.from_version
    routes = {**base.routes, route.name: attrs.evolve(route, service_version=version_in_force)}
    moves = {name: other for name, other in base.moves.items() if name != move_id}
    return ConfigSet(version=version, services=base.services, routes=routes, moves=moves)
