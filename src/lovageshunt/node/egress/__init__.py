"""The calls that the target makes through its node."""
