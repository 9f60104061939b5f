"""The data path: takes calls, passes them on, and answers them."""
