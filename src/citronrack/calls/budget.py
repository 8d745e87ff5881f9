"""Limits retries to a part of recent calls."""

from __future__ import annotations

import threading

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0  # retries saved up by the last 100 calls
INITIAL_TOKENS = 1.0


class RetryBudget:
    """Tokens that calls earn and retries spend; one budget serves all threads of a node.

    Over any period, retries are at most ``ratio`` times the calls plus `MAX_TOKENS`, so a fault
    that fails every call raises the load of the targets by a tenth only.

    Args:
        ratio: Tokens that one call earns.
        tokens: Tokens at the start.
    """

    def __init__(self, *, ratio: float = RETRY_RATIO, tokens: float = INITIAL_TOKENS) -> None:
        self._ratio = ratio
        self._tokens = tokens
        self._max_tokens = MAX_TOKENS
        self._lock = threading.Lock()

    def set_max_tokens(self, tokens: float) -> None:
        """Change how many retries can be saved up."""
        with self._lock:
            self._max_tokens = tokens
            self._tokens = min(tokens, self._tokens)

    def deposit(self) -> None:
        """Count one call."""
        with self._lock:
            self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_withdraw(self) -> bool:
        """Take the token for one retry and return whether there was one."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
