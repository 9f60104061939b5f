"""State charts in files, and the adapter that runs them."""
