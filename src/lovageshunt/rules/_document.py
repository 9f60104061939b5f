"""The rules that operators accept: by service, then by kind of request."""

from typing import Any, Final

import orjson
from xxhash import xxh3_64_hexdigest

from lovageshunt._record import Record

#: The method of a rule that names every method.
ANY_METHOD: Final = '*'


def digest_of(content: object) -> str:
    """Return the digest of plain content, the same on every machine."""
    canonical = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return xxh3_64_hexdigest(canonical)


class KindRule(Record):
    """What holds for one kind of request at one service.

    ``method`` and the prefix ``path`` say which requests are of this kind.
    ``importance`` runs from 0, refused last, to 7. A request that is not
    ``is_repeatable`` runs at most once. ``timeout_ms`` bounds the wait for
    the whole answer and ``retry_bound`` the retries of the whole chain.
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
        """Take every field by name."""
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
        """Return the importance of this kind when this caller sends it."""
        return self.importance_by_caller.get(caller, self.importance)

    def matches(self, method: str, path: str) -> bool:
        """Say whether a request is of this kind; a prefix ends at a slash."""
        if self.method not in {ANY_METHOD, method}:
            return False
        prefix = self.path.rstrip('/')
        if not path.startswith(prefix):
            return False
        rest = path.removeprefix(prefix)
        return not rest or rest.startswith(('/', '?'))


class ServiceRules(Record):
    """The rules of one service, by the name of the kind.

    It is not changed after it is made; ``digest`` and the order in which
    kinds are matched are worked out once.
    """

    __slots__ = ('service', 'by_kind', 'digest', '_by_prefix')

    def __init__(self, *, service: str, by_kind: dict[str, KindRule]) -> None:
        """Take the rules of one service."""
        self.service = service
        self.by_kind = by_kind
        self.digest = digest_of(self.as_content())
        self._by_prefix = sorted(by_kind.values(), key=_match_order)

    def as_content(self) -> dict[str, Any]:
        """Return the rules as plain content for a codec."""
        return {kind: rule.as_dict() for kind, rule in self.by_kind.items()}

    def kind_for(self, method: str, path: str) -> KindRule | None:
        """Return the rule of a request: the longest prefix wins."""
        for rule in self._by_prefix:
            if rule.matches(method, path):
                return rule
        return None


class RulesDocument(Record):
    """All the rules of one deployment, of one generation."""

    __slots__ = ('deployment', 'generation', 'by_service')

    def __init__(
        self,
        *,
        deployment: str,
        generation: int,
        by_service: dict[str, ServiceRules],
    ) -> None:
        """Take the rules of every service."""
        self.deployment = deployment
        self.generation = generation
        self.by_service = by_service

    @property
    def digest(self) -> str:
        """Return the digest, made from those of the services."""
        return digest_of_parts(
            self.deployment,
            self.generation,
            self.digest_by_service(),
        )

    def digest_by_service(self) -> dict[str, str]:
        """Return the digest of each service's rules."""
        return {
            service: rules.digest for service, rules in self.by_service.items()
        }


def digest_of_parts(
    deployment: str,
    generation: int,
    digest_by_service: dict[str, str],
) -> str:
    """Return a document's digest, for one who has the services' only."""
    return digest_of([deployment, generation, digest_by_service])


def _match_order(rule: KindRule) -> tuple[int, bool, str]:
    is_general = rule.method == ANY_METHOD
    return (-len(rule.path.rstrip('/')), is_general, rule.kind)
