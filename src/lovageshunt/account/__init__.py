"""What was answered, refused, failed and wasted, and the check that it balances."""
