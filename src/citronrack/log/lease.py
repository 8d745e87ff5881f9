"""Leases on duties that one node does for the whole fleet."""

from __future__ import annotations

from random import Random

from ..clock import Clock
from .records import Claim, Duty
from .state import FoldState, LeaseState

LEASE_MS = 60_000  # two duties cost 4 appends a minute for the fleet
RENEW_AFTER = 0.5  # of the lease; leaves 30 s for retries of the renewal
CANDIDATE_RANKS = 2  # per availability zone: its readers, which know the log's end at first hand
RANK_DELAY_S = 8.0  # several times the delay from a claim until all candidates have folded it
RETRY_MIN_S = 5.0
RETRY_MAX_S = 10.0
PROCESS_PAUSE_S = (
    3.0  # ticks come four times a second; a longer gap means that the process stood still
)


class LeaseManager:
    """Decides when to claim a duty, and whether this process may act under it.

    Pure: no wall clock takes part, and the log decides between claimants. A process acts only under
    a claim that it sent itself and that it has folded, and only until the lease has passed on its
    own monotonic clock, counted from before the claim was first sent. Others count from the moment
    at which they folded the claim, which is later, so they claim after the holder has stopped.

    Args:
        duty: The duty.
        own: ``node name/boot id``, so that a restarted node does not take itself for the holder.
        clock: Source of time.
        random: Source of random numbers.
        lease_ms: Length of the leases that this process claims.

    Example:
        >>> from citronrack.clock import ManualClock
        >>> from citronrack.log import Envelope, LogFold, encode_record
        >>> clock, fold = ManualClock(), LogFold()
        >>> keeper = LeaseManager(duty=Duty.OUTCOMES, own="a/1", clock=clock, random=Random(1))
        >>> keeper.on_tick(rank=0) is None  # waits for its share of the first 8 s
        True
        >>> claims = []
        >>> for _ in range(40):
        ...     clock.advance(0.25)
        ...     claims += filter(None, [keeper.on_tick(rank=0)])
        >>> [claim.term for claim in claims], keeper.term
        ([1], None)
        >>> _ = fold.apply(0, encode_record(Envelope("a/1", 1, 0, claims[0])))
        >>> keeper.on_claim_appended(0)
        >>> keeper.on_state(fold.state)
        >>> keeper.term
        1
    """

    def __init__(
        self, *, duty: Duty, own: str, clock: Clock, random: Random, lease_ms: int = LEASE_MS
    ) -> None:
        self._duty = duty
        self._own = own
        self._clock = clock
        self._random = random
        self._lease_ms = lease_ms
        self._lease: LeaseState | None = None
        self._term = 0
        self._next_offset = 0
        self._folded_at = clock.monotonic()
        self._candidate_since: float | None = None
        self._jitter = random.random()
        self._claim_sent_at: dict[int, float] = {}
        self._outstanding: int | None = None
        self._first_of_term = False
        self._awaited_offset = -1
        self._not_before = clock.monotonic()
        self._last_tick = clock.monotonic()

    @property
    def duty(self) -> Duty:
        """The duty that this keeper looks after."""
        return self._duty

    @property
    def term(self) -> int | None:
        """Term under which this process may act now, None when it may not.

        While an own claim is outstanding the process does not act: its record could land behind
        that claim and would then be ignored.
        """
        if self._outstanding is not None or self._next_offset <= self._awaited_offset:
            return None
        return self._term if self._holds() else None

    def on_state(self, state: FoldState) -> None:
        """Take note of the folded log; call it after each batch of records."""
        self._next_offset = state.next_offset
        lease = state.leases.get(self._duty.value)
        term = 0 if lease is None else lease.term
        if term == self._term:
            return
        self._lease = lease
        self._term = term
        self._folded_at = self._clock.monotonic()
        self._jitter = self._random.random()
        self._claim_sent_at = {sent: at for sent, at in self._claim_sent_at.items() if sent >= term}

    def on_tick(self, *, rank: int | None) -> Claim | None:
        """Return a claim to append when one is due.

        Args:
            rank: Position of this node in its zone's ranking; None while the node should not hold
                duties: not ready, draining, or with a fold that is not up to date.
        """
        now = self._clock.monotonic()
        if now - self._last_tick > PROCESS_PAUSE_S:
            # The fold is as old as the pause; it may hold a claim that was not yet delivered.
            self._not_before = max(self._not_before, now + PROCESS_PAUSE_S)
        self._last_tick = now
        if rank is None or not 0 <= rank < CANDIDATE_RANKS:
            self._candidate_since = None
            return None
        if self._candidate_since is None:
            self._candidate_since = now
        waits = self._outstanding is not None or self._next_offset <= self._awaited_offset
        if waits or now < max(self._not_before, self._due_at(rank)):
            return None
        return self._claim(now)

    def on_claim_appended(self, offset: int) -> None:
        """Take note that the returned claim stands in the log at ``offset``."""
        self._outstanding = None
        self._awaited_offset = offset
        self._retry_later()

    def on_claim_unknown(self) -> None:
        """Take note that the returned claim may be in the log."""
        self._outstanding = None
        self._retry_later()

    def on_claim_refused(self) -> None:
        """Take note that the returned claim is not in the log."""
        if self._outstanding is not None and self._first_of_term:
            self._claim_sent_at.pop(self._outstanding, None)
        self._outstanding = None
        self._retry_later()

    def _holds(self) -> bool:
        lease = self._lease
        sent_at = self._claim_sent_at.get(self._term)
        if lease is None or sent_at is None or lease.holder != self._own:
            return False
        return self._clock.monotonic() - sent_at < lease.lease_ms / 1000

    def _due_at(self, rank: int) -> float:
        """Return the time at which this process should claim the next term."""
        lease = self._lease
        since = self._candidate_since or 0.0
        if lease is not None and lease.holder == self._own and self._term in self._claim_sent_at:
            return self._claim_sent_at[self._term] + lease.lease_ms / 1000 * RENEW_AFTER
        expires_at = since if lease is None else self._folded_at + lease.lease_ms / 1000
        return max(expires_at, since) + (rank + self._jitter) * RANK_DELAY_S

    def _claim(self, now: float) -> Claim:
        term = self._term + 1
        # An earlier claim of the same term may still land, so its time counts.
        self._first_of_term = term not in self._claim_sent_at
        self._claim_sent_at.setdefault(term, now)
        self._outstanding = term
        return Claim(self._duty.value, term, self._own, self._lease_ms)

    def _retry_later(self) -> None:
        wait_s = self._random.uniform(RETRY_MIN_S, RETRY_MAX_S)
        self._not_before = self._clock.monotonic() + wait_s
