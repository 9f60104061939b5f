"""The choice of a target from lagging and misleading load and health."""
