"""The daemon beside a target."""

from lovageshunt.node._daemon import NodeDaemon

__all__ = ['NodeDaemon']
