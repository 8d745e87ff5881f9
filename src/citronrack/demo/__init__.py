"""Demo with real processes on loopback addresses."""
