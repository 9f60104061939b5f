"""Rules documents: the rules of each service, by kind of request."""

from typing import Any, Final

import orjson
from xxhash import xxh3_64_hexdigest

from lovageshunt._record import Record

#: The method of a rule that matches every method.
ANY_METHOD: Final = '*'


def digest_of(content: object) -> str:
    """Return the digest of JSON content, which is equal on every machine."""
    canonical = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return xxh3_64_hexdigest(canonical)


class KindRule(Record):
    """The rule for one kind of request at one service.

    ``method`` and the prefix ``path`` select the requests of this kind.
    ``importance`` ranges from 0, refused last, to 7, refused first;
    ``importance_by_caller`` overrides it for single callers. A request that
    is not ``is_repeatable`` runs at most once. ``timeout_ms`` limits the wait
    for the complete answer, ``retry_bound`` the retries in the complete call
    chain.
    """

    __slots__ = (
        'service',
        'kind',
        'method',
        'path',
        'importance',
        'is_repeatable',
        'timeout_ms',
        'retry_bound',
        'importance_by_caller',
    )

    def __init__(
        self,
        *,
        service: str,
        kind: str,
        method: str,
        path: str,
        importance: int,
        is_repeatable: bool,
        timeout_ms: int,
        retry_bound: int,
        importance_by_caller: dict[str, int] | None = None,
    ) -> None:
        self.service = service
        self.kind = kind
        self.method = method
        self.path = path
        self.importance = importance
        self.is_repeatable = is_repeatable
        self.timeout_ms = timeout_ms
        self.retry_bound = retry_bound
        self.importance_by_caller = importance_by_caller or {}

    def importance_for(self, caller: str) -> int:
        """Return the caller's own importance, or else that of the kind."""
        return self.importance_by_caller.get(caller, self.importance)

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request is of this kind.

        The prefix ends at the end of ``path``, a slash or a query.
        """
        if self.method not in {ANY_METHOD, method}:
            return False
        prefix = self.path.rstrip('/')
        if not path.startswith(prefix):
            return False
        rest = path.removeprefix(prefix)
        return not rest or rest.startswith(('/', '?'))


class ServiceRules(Record):
    """The rules of one service, by kind.

    Immutable after construction, as ``digest`` and the order in which the
    kinds are matched are computed once.
    """

    __slots__ = ('service', 'by_kind', 'digest', '_by_prefix')

    def __init__(self, *, service: str, by_kind: dict[str, KindRule]) -> None:
        self.service = service
        self.by_kind = by_kind
        self.digest = digest_of(self.as_content())
        self._by_prefix = sorted(by_kind.values(), key=_match_order)

    def as_content(self) -> dict[str, Any]:
        """Return the fields of each rule by kind, ready for JSON."""
        return {kind: rule.as_dict() for kind, rule in self.by_kind.items()}

    def kind_for(self, method: str, path: str) -> KindRule | None:
        """Return the matching rule: longest prefix, then exact method."""
        for rule in self._by_prefix:
            if rule.matches(method, path):
                return rule
        return None


class RulesDocument(Record):
    """All rules of one deployment at one generation, by service."""

    __slots__ = ('deployment', 'generation', 'by_service')

    def __init__(
        self,
        *,
        deployment: str,
        generation: int,
        by_service: dict[str, ServiceRules],
    ) -> None:
        self.deployment = deployment
        self.generation = generation
        self.by_service = by_service

    @property
    def digest(self) -> str:
        """Return the digest, computed from those of the services."""
        return digest_of_parts(
            self.deployment,
            self.generation,
            self.digest_by_service(),
        )

    def digest_by_service(self) -> dict[str, str]:
        """Return the digests that the manifest of this document lists."""
        return {
            service: rules.digest for service, rules in self.by_service.items()
        }


def digest_of_parts(
    deployment: str,
    generation: int,
    digest_by_service: dict[str, str],
) -> str:
    """Return a document's digest from the digests of its services alone."""
    return digest_of([deployment, generation, digest_by_service])


def _match_order(rule: KindRule) -> tuple[int, bool, str]:
    is_general = rule.method == ANY_METHOD
    return (-len(rule.path.rstrip('/')), is_general, rule.kind)
