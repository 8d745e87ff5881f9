"""Tests of `citronrack.settings`."""
