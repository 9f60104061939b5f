"""Small stand-ins of outside systems, for tests, demo and benchmarks."""
