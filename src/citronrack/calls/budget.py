"""Limits retries to a fraction of recent calls."""

from __future__ import annotations

import threading

RETRY_RATIO = 0.1
MAX_TOKENS = 10.0  # the balance that 100 calls deposit
INITIAL_TOKENS = 1.0


class RetryBudget:
    """A token balance to which calls deposit and from which retries withdraw; thread-safe.

    Over any period, the number of retries is at most ``ratio`` times the calls plus `MAX_TOKENS`.
    With the default ratio, a failure of every call raises the load of the targets by a tenth.

    Args:
        ratio: Tokens that one call deposits.
        tokens: Initial balance.
    """

    def __init__(self, *, ratio: float = RETRY_RATIO, tokens: float = INITIAL_TOKENS) -> None:
        self._ratio = ratio
        self._tokens = tokens
        self._max_tokens = MAX_TOKENS
        self._lock = threading.Lock()

    def set_max_tokens(self, tokens: float) -> None:
        """Set the largest balance."""
        with self._lock:
            self._max_tokens = tokens
            self._tokens = min(tokens, self._tokens)

    def deposit(self) -> None:
        """Add the tokens of one call."""
        with self._lock:
            self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def try_withdraw(self) -> bool:
        """Withdraw the token for one retry; return whether there was one."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
