"""Commands that only read."""
