"""Egress: the calls that the target makes through its node."""
