"""A demonstration with real processes on loopback addresses."""
