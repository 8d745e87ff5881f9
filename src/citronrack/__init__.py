"""Configuration distribution and call routing for a service mesh."""

from __future__ import annotations

__version__ = "0.1.0"
