"""The base class of typed messages: plain classes with slots."""

from typing import Any


class Record:
    """Give a class with slots equality and a readable representation.

    A subclass names its fields in ``__slots__`` and assigns each of them in
    a keyword-only ``__init__``. Records are compared by type and fields, and
    are not hashable, because most of them may change.
    """

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        """Compare the fields of two records of one type."""
        if type(self) is not type(other):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self._field_names()
        )

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        """Show the type and every field."""
        shown = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self._field_names()
        )
        return f'{type(self).__name__}({shown})'

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name, for a codec at the border."""
        return {name: getattr(self, name) for name in self._field_names()}

    @classmethod
    def _field_names(cls) -> tuple[str, ...]:
        return tuple(
            name
            for owner in reversed(cls.__mro__)
            for name in owner.__dict__.get('__slots__', ())
        )
