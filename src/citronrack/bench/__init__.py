"""Measurements of the system and its parts; not part of a running node."""
