"""The node: a daemon on each VM that proxies calls to its local target."""

from lovageshunt.node._daemon import NodeDaemon
from lovageshunt.node.gate._gate import Gate

__all__ = ['Gate', 'NodeDaemon']
