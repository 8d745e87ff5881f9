"""Commands that start processes or change the configuration."""
