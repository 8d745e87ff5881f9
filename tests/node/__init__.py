"""Tests of `citronrack.node`."""
