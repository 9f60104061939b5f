"""What is wrong with one key of a settings file."""

from lovageshunt._record import Record


class SettingsFault(Record):
    """One fault: where it is, what stands there and how to mend it."""

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
        """Take every field by name; empty where it does not apply."""
        self.path = path
        self.section = section
        self.key = key
        self.value = value
        self.expected = expected
        self.remedy = remedy

    def __str__(self) -> str:
        """Say all of it in one line."""
        place = f'{self.path} [{self.section}]'
        if self.key:
            place = f'{place} {self.key}'
        return (
            f'{place}: {self.value!r}, expected {self.expected}; {self.remedy}'
        )
