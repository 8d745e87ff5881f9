"""The node process: tasks, readiness, status and the composition root."""
