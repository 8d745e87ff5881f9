"""Small stand-ins of outside systems, for tests, benches and the demo."""
