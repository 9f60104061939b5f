"""The daemon beside a target."""

from lovageshunt.node._daemon import NodeDaemon
from lovageshunt.node.gate._gate import Gate

__all__ = ['Gate', 'NodeDaemon']
