"""Reads an INI file against a table of keys and collects every fault."""

from collections.abc import Collection
from configparser import (
    ConfigParser,
    DuplicateOptionError,
    DuplicateSectionError,
)
from configparser import Error as IniError
from difflib import get_close_matches
from pathlib import Path
from typing import Any

from lovageshunt.settings._fault import SettingsFault
from lovageshunt.settings._keys import ABSENT, REQUIRED, Key, SectionTable


class SettingsReader:
    """Reads and validates one file.

    ``faults`` holds every fault found so far; ``read`` adds to it.
    """

    __slots__ = ('faults', '_path', '_parser')

    def __init__(self, path: Path) -> None:
        """Parse the file.

        A duplicate section or key is reported as a fault and parsing goes on,
        so that one run reports as many faults as possible.
        """
        self.faults: list[SettingsFault] = []
        self._path = str(path)
        self._parser = ConfigParser(interpolation=None, strict=False)
        self._parse(path)

    def read(
        self,
        tables: tuple[SectionTable, ...],
    ) -> dict[str, dict[str, Any]]:
        """Return the values by section and key, empty if nothing was parsed.

        A value with a fault is ``None``, so check ``faults`` before use.
        """
        if self.faults and not self._parser.sections():
            return {}
        self._check_sections({table.name for table in tables})
        return {table.name: self._read_section(table) for table in tables}

    def add_fault(
        self,
        *,
        section: str,
        key: str,
        value: str,
        expected: str,
        remedy: str,
    ) -> None:
        fault = SettingsFault(
            path=self._path,
            section=section,
            key=key,
            value=value,
            expected=expected,
            remedy=remedy,
        )
        self.faults.append(fault)

    def _parse(self, path: Path) -> None:
        try:
            text = path.read_text(encoding='utf-8-sig')
        except (OSError, UnicodeDecodeError) as error:
            self._add_file_fault(str(error), 'a readable UTF-8 file')
            return
        self._find_duplicates(text)
        try:
            self._parser.read_string(text)
        except IniError as error:
            self._add_file_fault(
                error.message, 'sections and "key = value" lines'
            )

    def _find_duplicates(self, text: str) -> None:
        try:
            ConfigParser(interpolation=None).read_string(text)
        except DuplicateSectionError as repeated:
            self.add_fault(
                section=repeated.section,
                key='',
                value=repeated.section,
                expected='each section once',
                remedy=f'merge it with the other one, line {repeated.lineno}',
            )
        except DuplicateOptionError as repeated:
            self.add_fault(
                section=repeated.section,
                key=repeated.option,
                value=repeated.option,
                expected='each key once',
                remedy=f'remove line {repeated.lineno} or the earlier one',
            )
        except IniError:
            return

    def _add_file_fault(self, value: str, expected: str) -> None:
        self.add_fault(
            section='',
            key='',
            value=value,
            expected=expected,
            remedy='see docs/CONFIGURATION.md and examples/',
        )

    def _check_sections(self, known: Collection[str]) -> None:
        for section in self._parser.sections():
            if section not in known:
                self.add_fault(
                    section=section,
                    key='',
                    value=section,
                    expected='a known section',
                    remedy=_suggest_name(section, known),
                )

    def _read_section(self, table: SectionTable) -> dict[str, Any]:
        given: dict[str, str] = {}
        if self._parser.has_section(table.name):
            given.update(self._parser.items(table.name))
        known = [key.name for key in table.keys]
        for name in given.keys() - set(known):
            self.add_fault(
                section=table.name,
                key=name,
                value=given[name],
                expected='a known key',
                remedy=_suggest_name(name, known),
            )
        return {
            key.name: self._read_key(table.name, key, given.get(key.name, ''))
            for key in table.keys
        }

    def _read_key(self, section: str, key: Key, text: str) -> Any:
        text = text.strip() or key.default
        if text == ABSENT:
            return None
        if text == REQUIRED:
            self._add_key_fault(section, key, '', 'add the key')
            return None
        try:
            return key.kind.parse(text)
        except ValueError:
            self._add_key_fault(section, key, text, 'correct the value')
            return None

    def _add_key_fault(
        self,
        section: str,
        key: Key,
        value: str,
        remedy: str,
    ) -> None:
        self.add_fault(
            section=section,
            key=key.name,
            value=value,
            expected=key.kind.expected,
            remedy=remedy,
        )


def _suggest_name(name: str, known: Collection[str]) -> str:
    matches = get_close_matches(name, known, n=1)
    if matches:
        return f'did you mean {matches[0]!r}?'
    return f'remove it; the known names are {", ".join(sorted(known))}'
