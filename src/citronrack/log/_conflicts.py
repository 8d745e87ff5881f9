"""Conflicts between a change and the open moves."""

from __future__ import annotations

from ..config import Change, ConfigSet


def move_conflict(current: ConfigSet, change: Change) -> str:
    """Return why ``change`` conflicts with an open move, empty when it does not.

    A move that the change removes by name does not count as open.

    Args:
        current: Configuration in force.
        change: Change of a plan.
    """
    removed = frozenset(change.remove_moves)
    open_moves = {m.route: m for m in current.moves.values() if m.move_id not in removed}
    for started in change.put_moves:
        if started.move_id in current.moves:
            return f"move {started.move_id!r} is open already"
        other = open_moves.get(started.route)
        if other is not None:
            return f"route {started.route!r} has the open move {other.move_id!r}"
    for name in change.remove_routes:
        if name in open_moves:
            move_id = open_moves[name].move_id
            return f"route {name!r} cannot be removed while its move {move_id!r} is open"
    for route in change.put_routes:
        old, move = current.routes.get(route.name), open_moves.get(route.name)
        if old is None or move is None:
            continue
        if (route.service, route.service_version) != (old.service, old.service_version):
            return (
                f"route {route.name!r} cannot change its service version while its move "
                f"{move.move_id!r} is open"
            )
    return ""
