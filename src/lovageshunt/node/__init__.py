"""The daemon beside a target."""
