"""Digests of the keys of workspaces, and the lookup of a workspace by its key.

Keys are only kept as digests under a random key of the process, so that no log line, message or
dump of decoded objects can show one, and digests of two processes cannot be compared.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Iterable

from .model import Workspace

DIGEST_BYTES = 32


class KeyDigester:
    """Computes digests under a random key, which stays in this object.

    The digests of a configuration and of the keys that callers present must come from one digester.
    """

    def __init__(self) -> None:
        self._secret = secrets.token_bytes(DIGEST_BYTES)

    def digest(self, data: bytes) -> bytes:
        """Return the digest of a key."""
        return hashlib.blake2b(data, key=self._secret, digest_size=DIGEST_BYTES).digest()


class KeyIndex:
    """Finds the workspace that holds a key.

    Args:
        workspaces: All workspaces; no two of them hold one key.
    """

    def __init__(self, workspaces: Iterable[Workspace] = ()) -> None:
        self._by_digest = {
            digest: (digest, workspace)
            for workspace in workspaces
            for digest in workspace.key_digests
        }

    def find(self, digest: bytes) -> Workspace | None:
        """Return the workspace that holds the key with a digest, None for an unknown key.

        The time of the lookup depends on the digest, which a caller cannot choose or predict.
        """
        held, workspace = self._by_digest.get(digest, (b"", None))
        return workspace if hmac.compare_digest(held, digest) else None
