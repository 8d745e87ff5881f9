"""Scenarios, invariant checkers, traces and their replay."""

from __future__ import annotations
