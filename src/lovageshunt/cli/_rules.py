"""Commands that check, compare and accept rules and show their status."""

import sys
from collections.abc import Sequence
from datetime import date
from importlib import import_module
from pathlib import Path
from typing import Final

from absl.flags import (
    DEFINE_list,
    DEFINE_string,
    FlagValues,
)
from expression import Error, Ok, Result

from lovageshunt.cli._command import Command, ExitCode, write_error
from lovageshunt.cli._rules_diff import changes_between
from lovageshunt.cli._rules_read import read_document, read_sheet
from lovageshunt.cli._rules_show import (
    show_changes,
    show_document,
    show_faults,
)
from lovageshunt.rules import (
    RulesDocument,
    Sheet,
    SheetFault,
    encode_document,
)


def check(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Check a sheet and report all of its faults."""
    if len(arguments) != 1:
        return _report_wrong_arguments('one sheet')
    match read_sheet(arguments[0], values, today=None):
        case Result(tag='ok', ok=sheet):
            show_document(sheet.document, values)
            return ExitCode.SUCCESS
        case Result(error=faults):
            show_faults(faults, values)
    return ExitCode.INVALID_INPUT


def diff(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Show the differences between two sheets or documents."""
    if len(arguments) != 2:
        return _report_wrong_arguments('an old and a new sheet or document')
    documents: list[RulesDocument] = []
    for name in arguments:
        match read_document(name, values):
            case Result(tag='ok', ok=document):
                documents.append(document)
            case Result(error=faults):
                write_error(
                    f'{name} is invalid; see standard output for faults'
                )
                show_faults(faults, values)
                return ExitCode.INVALID_INPUT
    show_changes(changes_between(documents[0], documents[1]), values)
    return ExitCode.SUCCESS


def accept(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Create the document that operators publish from a sheet."""
    if len(arguments) != 1:
        return _report_wrong_arguments('one sheet')
    accepted = read_sheet(arguments[0], values, today=date.today()).bind(
        lambda sheet: _check_generation(sheet, values),
    )
    match accepted:
        case Result(tag='ok', ok=sheet):
            return _write_document(sheet.document, values)
        case Result(error=faults):
            show_faults(faults, values)
    return ExitCode.INVALID_INPUT


def status(arguments: Sequence[str], values: FlagValues) -> ExitCode:
    """Show the rules in force at each node and mark outdated nodes."""
    if arguments:
        return _report_wrong_arguments('flags only')
    module = import_module('lovageshunt.cli._rules_status')
    code: ExitCode = module.show_status(values)
    return code


def _check_generation(
    sheet: Sheet,
    values: FlagValues,
) -> Result[Sheet, list[SheetFault]]:
    name = values['in-force'].value
    if name is None:
        return Ok(sheet)
    return read_document(name, values).bind(
        lambda in_force: _check_newer(sheet, in_force),
    )


def _check_newer(
    sheet: Sheet,
    in_force: RulesDocument,
) -> Result[Sheet, list[SheetFault]]:
    new = sheet.document
    faults: list[SheetFault] = []
    if new.generation <= in_force.generation:
        fault = SheetFault(
            row=0,
            column='generation',
            value=str(new.generation),
            expected=f'a generation above {in_force.generation}',
            remedy='export the current sheet, or raise its generation',
        )
        faults.append(fault)
    if new.deployment != in_force.deployment:
        fault = SheetFault(
            row=0,
            column='deployment',
            value=new.deployment,
            expected=in_force.deployment,
            remedy='use a sheet of the deployment in force',
        )
        faults.append(fault)
    return Error(faults) if faults else Ok(sheet)


def _write_document(document: RulesDocument, values: FlagValues) -> ExitCode:
    raw = encode_document(document)
    name = values['out'].value
    if name is None:
        sys.stdout.write(f'{raw.decode()}\n')
        return ExitCode.SUCCESS
    try:
        Path(name).write_bytes(raw)
    except OSError as error:
        write_error(f'cannot write --out {name} ({error}); choose another path')
        return ExitCode.FAILED
    show_document(document, values)
    return ExitCode.SUCCESS


def _report_wrong_arguments(expected: str) -> ExitCode:
    write_error(f'expected {expected}; see --help')
    return ExitCode.INVALID_INPUT


def _define_services(values: FlagValues) -> None:
    DEFINE_list(
        'services',
        None,
        'Services of the deployment; rules for others are faults.',
        flag_values=values,
    )


def _define_accept(values: FlagValues) -> None:
    _define_services(values)
    DEFINE_string(
        'in-force',
        None,
        'Sheet or document in force; its generation must be lower.',
        flag_values=values,
    )
    DEFINE_string(
        'out',
        None,
        'Output file of the document; default is standard output.',
        flag_values=values,
    )


def _define_status(values: FlagValues) -> None:
    # Imported here, so that the other commands load no HTTP library.
    import_module('lovageshunt.cli._ask').define_node_flags(values)


COMMANDS: Final = (
    Command(
        name='check',
        arguments='SHEET',
        summary='Check a sheet and report all of its faults.',
        example='examples/nahr-labs/rules.csv',
        define=_define_services,
        run=check,
    ),
    Command(
        name='diff',
        arguments='OLD NEW',
        summary='Show the differences between two sheets or documents.',
        example='in-force.json examples/nahr-labs/rules.csv',
        define=_define_services,
        run=diff,
    ),
    Command(
        name='accept',
        arguments='SHEET',
        summary='Create the document that operators publish from a sheet.',
        example='rules.csv --in-force=in-force.json --out=next.json',
        define=_define_accept,
        run=accept,
    ),
    Command(
        name='status',
        summary='Show the rules in force at each node; mark outdated nodes.',
        example='--nodes=127.0.0.1:8102,127.0.0.1:8202',
        define=_define_status,
        run=status,
    ),
)
