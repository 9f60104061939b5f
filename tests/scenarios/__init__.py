"""Scripted scenarios against real processes."""
