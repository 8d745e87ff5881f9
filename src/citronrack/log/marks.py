"""Which marks of bad service versions the fold keeps.

A mark is needed while its service version is configured and either an open move of the mark's epoch
leads to that version or no newer mark of the version exists. All nodes apply the same rule to the
same records, so that marks stay bounded by the configured versions and the open moves.
"""

from __future__ import annotations

from ..config import ConfigSet
from .records import Marked
from .state import FoldState


def mark_key(service: str, service_version: str, epoch: int) -> str:
    """Return the key of a mark in `FoldState.marks`."""
    return f"{service}/{service_version}/{epoch}"


def is_settled(state: FoldState, mark: Marked) -> bool:
    """Return whether nobody needs to append ``mark``: it is folded already or no longer matters.

    Example:
        >>> is_settled(FoldState(), Marked("catalogue", "2.0", 7, "slow", "", 9, 0, "a"))
        True
    """
    return not reason_against(state, mark)[1]


def reason_against(state: FoldState, mark: Marked) -> tuple[str, bool]:
    """Return why ``mark`` would have no effect, and whether it is still needed.

    Returns:
        An empty reason and True for a mark that should be kept.
    """
    key = mark_key(mark.service, mark.service_version, mark.epoch)
    if key in state.marks:
        return "service version is already marked", False
    service = state.config.services.get(mark.service)
    if service is None or mark.service_version not in service.versions:
        return "marked service version is not configured", False
    if _open_epoch(state.config, mark) or mark.epoch > newest_epoch(state, mark):
        return "", True
    return "a newer mark of the service version exists", False


def newest_epoch(state: FoldState, mark: Marked) -> int:
    """Return the greatest epoch with which the mark's service version is marked, -1 for none."""
    wanted = (mark.service, mark.service_version)
    epochs = (m.epoch for m in state.marks.values() if (m.service, m.service_version) == wanted)
    return max(epochs, default=-1)


def drop_unneeded(state: FoldState) -> None:
    """Remove the marks that no longer matter."""
    if not state.marks:
        return
    newest: dict[tuple[str, str], int] = {}
    for mark in state.marks.values():
        version = (mark.service, mark.service_version)
        newest[version] = max(newest.get(version, -1), mark.epoch)
    for key, mark in list(state.marks.items()):
        service = state.config.services.get(mark.service)
        configured = service is not None and mark.service_version in service.versions
        is_newest = newest[(mark.service, mark.service_version)] == mark.epoch
        if not configured or not (is_newest or _open_epoch(state.config, mark)):
            del state.marks[key]


def _open_epoch(config: ConfigSet, mark: Marked) -> bool:
    """Return whether an open move of the mark's epoch leads to the marked version."""
    return any(
        move.epoch == mark.epoch
        and move.to_version == mark.service_version
        and config.routes[move.route].service == mark.service
        for move in config.moves.values()
    )
