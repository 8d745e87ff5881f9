"""Codec of the table of workspaces; no error names a key."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from ..config import KeyDigester, Workspace
from .fields import FieldError, require, require_number, require_rate, require_text
from .rows import RowError

TABLE = "tenants"


class WorkspaceDecoder:
    """Decodes rows of workspaces.

    Args:
        digester: Computes the digests of the keys.
    """

    def __init__(self, digester: KeyDigester) -> None:
        self._digester = digester

    def mark(self, row: str) -> bytes:
        """Return the digest of a row in text form, which contains keys."""
        return self._digester.digest(row.encode("utf-8", "backslashreplace"))

    def decode(self, row: Mapping[str, Any]) -> Workspace:
        """Return the workspace of a row.

        Raises:
            FieldError: If a field is invalid.
        """
        keys = require(row, "api_keys", list) if "api_keys" in row else []
        return Workspace(
            name=_name(row),
            key_digests=frozenset(self._digester.digest(_key(key)) for key in keys),
            rate_per_s=require_rate({"rate_per_s": 0, **row}, "rate_per_s"),
            burst=require_rate({"burst": 0, **row}, "burst"),
            priority=require_number(row, "priority") if "priority" in row else None,
        )


def check_keys(workspaces: Iterable[Workspace]) -> None:
    """Check that no two workspaces hold one key.

    Raises:
        RowError: If a key stands in two rows.
    """
    rows: dict[bytes, int] = {}
    for number, workspace in enumerate(workspaces, start=1):
        for digest in workspace.key_digests:
            first = rows.setdefault(digest, number)
            if first != number:
                raise RowError(TABLE, number, f"it holds a key that row {first} holds, too")


def _name(row: Mapping[str, Any]) -> str:
    name = require_text(row, "name")
    if not name or name != name.strip():
        raise FieldError("field 'name' is empty or has spaces around it")
    return name


def _key(key: Any) -> bytes:
    if not isinstance(key, str) or not key or not key.isprintable() or " " in key:
        raise FieldError("a key is not a text without spaces")
    return key.encode()
