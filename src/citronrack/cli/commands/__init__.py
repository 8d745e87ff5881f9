"""Commands that start something or change something."""
