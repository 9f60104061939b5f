"""The allowance of a root request, local budgets and crash quarantine."""
