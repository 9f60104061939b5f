"""Fakes of external systems for tests, the demo and benchmarks."""
