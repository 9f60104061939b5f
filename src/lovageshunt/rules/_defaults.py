"""The rule for requests that no published rule matches."""

from typing import Final

from lovageshunt.calls import LOWEST_IMPORTANCE
from lovageshunt.rules._document import KindRule

#: The kind of a request that no published rule matches.
DEFAULT_KIND: Final = 'default'
#: The timeout of such a request.
DEFAULT_TIMEOUT_MS: Final = 2000
#: The retries allowed in the complete call chain of such a request.
DEFAULT_RETRY_BOUND: Final = 1
#: The only methods that are retried without a rule that permits it.
SAFE_METHODS: Final = frozenset(('GET', 'HEAD'))


def default_rule(service: str, method: str, path: str) -> KindRule:
    """Return a conservative rule for a request that no rule matches.

    Only reads may be repeated. Under overload these requests are refused
    before all those that operators have classified, except for requests of
    the lowest importance.
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
