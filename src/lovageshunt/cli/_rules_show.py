"""Prints documents, faults and changes as text or JSON."""

from absl.flags import FlagValues

from lovageshunt.cli._command import write_json, write_line, write_table
from lovageshunt.cli._rules_diff import RuleChange
from lovageshunt.rules import RulesDocument, SheetFault


def show_document(document: RulesDocument, values: FlagValues) -> None:
    """Print a summary of a valid document."""
    kinds = sum(len(rules.by_kind) for rules in document.by_service.values())
    if values.json:
        write_json(
            {
                'deployment': document.deployment,
                'generation': document.generation,
                'digest': document.digest,
                'services': sorted(document.by_service),
                'kinds': kinds,
                'faults': [],
            },
        )
        return
    write_line(
        f'{document.deployment}, generation {document.generation}, digest '
        f'{document.digest}: {kinds} kinds of request at '
        f'{len(document.by_service)} services, no faults',
    )


def show_faults(faults: list[SheetFault], values: FlagValues) -> None:
    """Print faults as a table, or as JSON with ``--json``."""
    if values.json:
        write_json({'faults': [fault.as_dict() for fault in faults]})
        return
    write_table(
        ('row', 'column', 'value', 'expected', 'remedy'),
        [
            (
                str(fault.row),
                fault.column,
                fault.value,
                fault.expected,
                fault.remedy,
            )
            for fault in faults
        ],
    )


def show_changes(changes: list[RuleChange], values: FlagValues) -> None:
    """Print changes as a table, or as JSON with ``--json``."""
    if values.json:
        write_json({'changes': [change.as_dict() for change in changes]})
        return
    if not changes:
        write_line('no changes')
        return
    write_table(
        ('service', 'kind', 'field', 'old', 'new'),
        [
            (
                change.service,
                change.kind,
                change.field,
                change.old,
                change.new,
            )
            for change in changes
        ],
    )
