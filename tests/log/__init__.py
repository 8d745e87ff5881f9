"""Tests of `citronrack.log`."""
