"""Tests of citronrack; run them with ``python -m tests``."""
