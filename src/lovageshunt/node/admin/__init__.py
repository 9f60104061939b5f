"""What operators read of a node and tell it, and how it is secured."""
