"""Tests of the shipped examples and the one-file program."""
