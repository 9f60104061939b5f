"""Concurrency limits, priorities, queues and shedding beside one target."""
