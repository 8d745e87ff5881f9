"""Tests of `citronrack.config`."""
