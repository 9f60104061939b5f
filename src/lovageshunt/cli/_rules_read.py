"""Reads the sheets and documents given to the rules commands."""

from datetime import date
from pathlib import Path
from typing import Final

from absl.flags import FlagValues
from expression import Error, Ok, Result

from lovageshunt.rules import (
    RulesDocument,
    Sheet,
    SheetFault,
    decode_document,
    parse_sheet,
)

_JSON_OBJECT_START: Final = b'{'


def read_sheet(
    name: str,
    values: FlagValues,
    today: date | None,
) -> Result[Sheet, list[SheetFault]]:
    """Return the sheet in a file, or its faults; see ``parse_sheet``."""
    services = values['services'].value
    return _read_file(name).bind(
        lambda raw: parse_sheet(raw, services or None, today),
    )


def read_document(
    name: str,
    values: FlagValues,
) -> Result[RulesDocument, list[SheetFault]]:
    """Return the document from a file with a document or a sheet."""
    return _read_file(name).bind(
        lambda raw: _decode(name, raw, values),
    )


def _decode(
    name: str,
    raw: bytes,
    values: FlagValues,
) -> Result[RulesDocument, list[SheetFault]]:
    if raw.startswith(_JSON_OBJECT_START):
        return decode_document(raw).map_error(
            lambda error: [_file_fault(name, str(error))],
        )
    return read_sheet(name, values, today=None).map(
        lambda sheet: sheet.document,
    )


def _read_file(name: str) -> Result[bytes, list[SheetFault]]:
    try:
        return Ok(Path(name).read_bytes())
    except OSError as error:
        return Error([_file_fault(name, str(error))])


def _file_fault(name: str, reason: str) -> SheetFault:
    return SheetFault(
        row=0,
        column='file',
        value=name,
        expected='a readable sheet or document',
        remedy=reason,
    )
