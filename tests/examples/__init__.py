"""Tests of the shipped examples and the single-file executable."""
