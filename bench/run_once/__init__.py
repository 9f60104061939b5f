"""In-memory fleet that tests at-most-once execution under faults."""

from bench.run_once._callers import Caller, CallerKind
from bench.run_once._fleet import Fleet
from bench.run_once._machine import Machine, NodeFactory, make_node

__all__ = [
    'Caller',
    'CallerKind',
    'Fleet',
    'Machine',
    'NodeFactory',
    'make_node',
]
