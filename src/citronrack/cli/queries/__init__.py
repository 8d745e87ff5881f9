"""Read-only commands."""
