"""The daemon: tasks, readiness, status and the composition root."""
