"""Runs the scenarios in the feature files beside this module."""

from pytest_bdd import scenarios

scenarios('.')
