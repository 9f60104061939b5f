"""One call's way through the decisions beside its target."""
