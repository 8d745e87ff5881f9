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


def is_obsolete(state: FoldState, mark: Marked) -> bool:
    """Return whether nobody needs to append ``mark``: it is folded already or no longer matters.

    Example:
        >>> is_obsolete(FoldState(), Marked("catalogue", "2.0", 7, "slow", "", 9, 0, "a"))
        True
    """
    return bool(rejection_reason(state, mark))


def rejection_reason(state: FoldState, mark: Marked) -> str:
    """Return why ``mark`` would have no effect, empty when it should be kept."""
    if mark_key(mark.service, mark.service_version, mark.epoch) in state.marks:
        return "service version is already marked"
    if not _is_configured(state.config, mark):
        return "marked service version is not configured"
    version = _version_of(mark)
    newest = max((m.epoch for m in state.marks.values() if _version_of(m) == version), default=-1)
    if mark.epoch > newest or (*version, mark.epoch) in _open_targets(state.config):
        return ""
    return "a newer mark of the service version exists"


def remove_obsolete(state: FoldState) -> None:
    """Remove the marks that no longer matter."""
    if not state.marks:
        return
    newest: dict[tuple[str, str], int] = {}
    for mark in state.marks.values():
        version = _version_of(mark)
        newest[version] = max(newest.get(version, -1), mark.epoch)
    targets = _open_targets(state.config)
    for key, mark in list(state.marks.items()):
        version = _version_of(mark)
        needed = newest[version] == mark.epoch or (*version, mark.epoch) in targets
        if not needed or not _is_configured(state.config, mark):
            del state.marks[key]


def _version_of(mark: Marked) -> tuple[str, str]:
    return mark.service, mark.service_version


def _is_configured(config: ConfigSet, mark: Marked) -> bool:
    service = config.services.get(mark.service)
    return service is not None and mark.service_version in service.versions


def _open_targets(config: ConfigSet) -> set[tuple[str, str, int]]:
    """Return service, service version and epoch of the versions that open moves lead to."""
    return {
        (config.routes[move.route].service, move.to_version, move.epoch)
        for move in config.moves.values()
    }
