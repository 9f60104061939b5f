"""The reader of what the platform publishes."""
