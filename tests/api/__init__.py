"""Tests of `citronrack.api`."""
