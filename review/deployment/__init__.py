"""A small deployment for the cases 6 to 10: nodes, servers, clients."""
