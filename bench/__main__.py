"""Run one benchmark: ``python -m bench NAME [ARGUMENT ...]``."""

import sys
from runpy import run_module

_NAMES = (
    'charts',
    'cost',
    'decisions',
    'live',
    'membership',
    'observability',
    'overload',
    'purchases',
    'retry_shares',
    'run_once',
    'spread',
)


def main(arguments: list[str]) -> int:
    """Run the named benchmark; return exit status 2 for an unknown name."""
    if not arguments or arguments[0] not in _NAMES:
        names = ', '.join(_NAMES)
        sys.stderr.write(f'usage: python -m bench NAME ..., of {names}\n')
        return 2
    sys.argv = [sys.argv[0], *arguments[1:]]
    module = f'bench.{arguments[0]}'
    run_module(module, run_name='__main__', alter_sys=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
