"""What one document changes of another, field by field."""

from typing import Any

from lovageshunt._record import Record
from lovageshunt.rules import RulesDocument

_Fields = dict[str, Any]


class RuleChange(Record):
    """One field of one rule that differs; ``field`` is empty for a rule."""

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
        """Take every field by name."""
        self.service = service
        self.kind = kind
        self.field = field
        self.old = old
        self.new = new


def changes_between(old: RulesDocument, new: RulesDocument) -> list[RuleChange]:
    """Return the changes, by service, kind and field."""
    old_by_key = _fields_by_key(old)
    new_by_key = _fields_by_key(new)
    changes: list[RuleChange] = []
    for key in sorted(old_by_key.keys() | new_by_key.keys()):
        before = old_by_key.get(key, {})
        after = new_by_key.get(key, {})
        changes.extend(_rule_changes(key, before, after))
    return changes


def _fields_by_key(document: RulesDocument) -> dict[tuple[str, str], _Fields]:
    return {
        (service, kind): rule.as_dict()
        for service, rules in document.by_service.items()
        for kind, rule in rules.by_kind.items()
    }


def _rule_changes(
    key: tuple[str, str],
    before: _Fields,
    after: _Fields,
) -> list[RuleChange]:
    service, kind = key
    if not before or not after:
        change = RuleChange(
            service=service,
            kind=kind,
            field='',
            old='present' if before else 'absent',
            new='present' if after else 'absent',
        )
        return [change]
    return [
        RuleChange(
            service=service,
            kind=kind,
            field=field,
            old=str(before[field]),
            new=str(after[field]),
        )
        for field in before
        if before[field] != after[field]
    ]
