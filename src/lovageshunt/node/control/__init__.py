"""The node's part in the fleet: members, rules, inquiries, peers."""
