"""Tests of the distribution of records and facts."""
