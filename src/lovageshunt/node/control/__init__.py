"""Connects the node to the fleet: membership, rules, inquiries and peers."""
