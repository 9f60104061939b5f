"""Field-by-field comparison of two rules documents."""

from typing import Any

from lovageshunt._record import Record
from lovageshunt.rules import RulesDocument

_Fields = dict[str, Any]


class RuleChange(Record):
    """One difference between two documents.

    ``field`` is empty when the rule itself was added or removed; ``old`` and
    ``new`` are then ``present`` or ``absent``.
    """

    __slots__ = ('service', 'kind', 'field', 'old', 'new')

    def __init__(
        self,
        *,
        service: str,
        kind: str,
        field: str,
        old: str,
        new: str,
    ) -> None:
        self.service = service
        self.kind = kind
        self.field = field
        self.old = old
        self.new = new


def changes_between(old: RulesDocument, new: RulesDocument) -> list[RuleChange]:
    """Return the differences, sorted by service and kind."""
    old_by_key = _fields_by_key(old)
    new_by_key = _fields_by_key(new)
    changes: list[RuleChange] = []
    for key in sorted(old_by_key.keys() | new_by_key.keys()):
        old_fields = old_by_key.get(key, {})
        new_fields = new_by_key.get(key, {})
        changes.extend(_rule_changes(key, old_fields, new_fields))
    return changes


def _fields_by_key(document: RulesDocument) -> dict[tuple[str, str], _Fields]:
    return {
        (service, kind): rule.as_dict()
        for service, rules in document.by_service.items()
        for kind, rule in rules.by_kind.items()
    }


def _rule_changes(
    key: tuple[str, str],
    old_fields: _Fields,
    new_fields: _Fields,
) -> list[RuleChange]:
    service, kind = key
    if not old_fields or not new_fields:
        change = RuleChange(
            service=service,
            kind=kind,
            field='',
            old='present' if old_fields else 'absent',
            new='present' if new_fields else 'absent',
        )
        return [change]
    return [
        RuleChange(
            service=service,
            kind=kind,
            field=field,
            old=str(old_fields[field]),
            new=str(new_fields[field]),
        )
        for field in old_fields
        if old_fields[field] != new_fields[field]
    ]
