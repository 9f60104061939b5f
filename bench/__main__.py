"""Runs a benchmark: ``python -m bench NAME``."""

import sys

from bench.cost import main as run_cost
from bench.overload import run

_USAGE = (
    'usage: python -m bench overload [DEPLOYMENT] [WORKLOAD]\n'
    '       python -m bench cost [latency] [control]\n'
)


def main(arguments: list[str]) -> int:
    """Run the named benchmark; return 2 when there is none of the name."""
    if arguments[:1] == ['cost']:
        return run_cost(arguments[1:])
    if arguments[:1] != ['overload']:
        sys.stderr.write(_USAGE)
        return 2
    run(arguments[1:])
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
