"""A validation fault in a settings file."""

from lovageshunt._record import Record


class SettingsFault(Record):
    """One fault: its location, the value found and how to correct it.

    ``section`` and ``key`` are empty for a fault of the file, ``key`` also for
    a fault of a section.
    """

    __slots__ = ('path', 'section', 'key', 'value', 'expected', 'remedy')

    def __init__(
        self,
        *,
        path: str,
        section: str,
        key: str,
        value: str,
        expected: str,
        remedy: str,
    ) -> None:
        self.path = path
        self.section = section
        self.key = key
        self.value = value
        self.expected = expected
        self.remedy = remedy

    def __str__(self) -> str:
        """Format the fault as one line for operators."""
        location = f'{self.path} [{self.section}]'
        if self.key:
            location = f'{location} {self.key}'
        return (
            f'{location}: {self.value!r}, expected {self.expected}; '
            f'{self.remedy}'
        )
