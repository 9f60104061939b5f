"""The data path: accepts calls, forwards them and sends the responses."""
