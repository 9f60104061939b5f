"""Runs each call through run-once, admission and quarantine."""
