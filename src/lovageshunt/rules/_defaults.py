"""What holds for a request that no rule names."""

from typing import Final

from lovageshunt.calls import LOWEST_IMPORTANCE
from lovageshunt.rules._document import KindRule

#: The kind of a request that no rule names.
DEFAULT_KIND: Final = 'default'
#: How long such a request may take, in milliseconds.
DEFAULT_TIMEOUT_MS: Final = 2000
#: How many retries the whole chain of such a request may spend.
DEFAULT_RETRY_BOUND: Final = 1
#: Only these methods are safe to repeat without a rule that says so.
SAFE_METHODS: Final = frozenset(('GET', 'HEAD'))


def default_rule(service: str, method: str, path: str) -> KindRule:
    """Return the cautious rule for a request that no rule names.

    Nothing but reads may be repeated, and all of it is refused before
    whatever the operators have named, but for the lowest importance.
    """
    return KindRule(
        service=service,
        kind=DEFAULT_KIND,
        method=method,
        path=path,
        importance=LOWEST_IMPORTANCE - 1,
        is_repeatable=method in SAFE_METHODS,
        timeout_ms=DEFAULT_TIMEOUT_MS,
        retry_bound=DEFAULT_RETRY_BOUND,
    )
