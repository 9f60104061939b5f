"""What was answered, refused, failed and wasted, and its balance."""
