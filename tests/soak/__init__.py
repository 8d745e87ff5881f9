"""Randomized soak tests: real processes, injected faults, checks at callers and targets."""
