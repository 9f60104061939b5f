"""JSON encoding of rules documents and of the rules of single services."""

from types import MappingProxyType
from typing import Any, Final

import orjson
from expression import Error, Ok, Result

from lovageshunt.calls import HIGHEST_IMPORTANCE, LOWEST_IMPORTANCE
from lovageshunt.errors import MalformedRulesError
from lovageshunt.rules._document import KindRule, RulesDocument, ServiceRules

#: The largest document that the platform stores; larger input is not parsed.
MAX_DOCUMENT_BYTES: Final = 1_000_000

_RULE_TYPES: Final = MappingProxyType(
    {
        'service': str,
        'kind': str,
        'method': str,
        'path': str,
        'importance': int,
        'is_repeatable': bool,
        'timeout_ms': int,
        'retry_bound': int,
        'importance_by_caller': dict,
    }
)


def encode_document(document: RulesDocument) -> bytes:
    """Return the document as JSON with sorted keys."""
    content = {
        'deployment': document.deployment,
        'generation': document.generation,
        'by_service': encode_parts(document.by_service),
    }
    return orjson.dumps(content, option=orjson.OPT_SORT_KEYS)


def decode_document(
    raw: bytes,
) -> Result[RulesDocument, MalformedRulesError]:
    """Return the document in ``raw``, or the reason why it is malformed."""
    if len(raw) > MAX_DOCUMENT_BYTES:
        return Error(
            MalformedRulesError(f'larger than {MAX_DOCUMENT_BYTES} bytes')
        )
    try:
        document = _document_of(orjson.loads(raw))
    except (KeyError, TypeError, ValueError) as error:
        return Error(MalformedRulesError(_reason(error)))
    return Ok(document)


def encode_parts(by_service: dict[str, ServiceRules]) -> dict[str, Any]:
    """Return the rules by service and kind, ready for JSON."""
    return {
        service: rules.as_content() for service, rules in by_service.items()
    }


def decode_parts(content: object) -> dict[str, ServiceRules]:
    """Return the rules of each service in decoded JSON content.

    Raises ``KeyError``, ``TypeError`` or ``ValueError`` on invalid content.
    """
    return {
        service: _service_of(service, rules)
        for service, rules in _mapping(content).items()
    }


def _document_of(content: object) -> RulesDocument:
    fields = _mapping(content)
    generation = _typed(fields, 'generation', int)
    if generation < 1:
        raise ValueError(f'generation must be at least 1, got {generation}')
    return RulesDocument(
        deployment=_typed(fields, 'deployment', str),
        generation=generation,
        by_service=decode_parts(fields['by_service']),
    )


def _service_of(service: str, content: object) -> ServiceRules:
    by_kind: dict[str, KindRule] = {}
    for kind, fields in _mapping(content).items():
        rule = _rule_of(fields)
        if (rule.service, rule.kind) != (service, kind):
            raise ValueError(
                f'the rule at {service}/{kind} has service and kind '
                f'{rule.service}/{rule.kind}',
            )
        by_kind[kind] = rule
    return ServiceRules(service=service, by_kind=by_kind)


def _rule_of(content: object) -> KindRule:
    fields = _mapping(content)
    unknown = fields.keys() - _RULE_TYPES.keys()
    if unknown:
        raise ValueError(f'unknown fields {sorted(unknown)}')
    checked = {
        name: _typed(fields, name, expected)
        for name, expected in _RULE_TYPES.items()
    }
    rule = KindRule(**checked)
    _check_ranges(rule)
    return rule


def _check_ranges(rule: KindRule) -> None:
    for importance in (rule.importance, *rule.importance_by_caller.values()):
        if type(importance) is not int:
            raise TypeError(
                'importance must be an integer, '
                f'got {type(importance).__name__}',
            )
        if not HIGHEST_IMPORTANCE <= importance <= LOWEST_IMPORTANCE:
            raise ValueError(
                f'importance must be from {HIGHEST_IMPORTANCE} to '
                f'{LOWEST_IMPORTANCE}, got {importance}',
            )
    if rule.timeout_ms < 1 or rule.retry_bound < 0:
        raise ValueError(
            'timeout_ms must be at least 1 and retry_bound at least 0, '
            f'got {rule.timeout_ms} and {rule.retry_bound}',
        )


def _typed(fields: dict[str, Any], name: str, expected: type) -> Any:
    content = fields[name]
    if type(content) is not expected:
        raise TypeError(
            f'{name} must be of type {expected.__name__}, '
            f'got {type(content).__name__}',
        )
    return content


def _mapping(content: object) -> dict[str, Any]:
    if not isinstance(content, dict):
        raise TypeError(f'expected a JSON object, got {type(content).__name__}')
    return content


def _reason(error: Exception) -> str:
    if isinstance(error, KeyError):
        return f'field {error.args[0]} is missing'
    return str(error)
