"""Tests of the call path."""
