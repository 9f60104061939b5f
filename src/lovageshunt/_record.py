"""The base class of typed messages, which are plain classes with slots."""

from typing import Any


class Record:
    """Adds equality and a ``repr`` to a class with slots.

    A subclass lists its fields in ``__slots__`` and assigns each of them in
    a keyword-only ``__init__``. Records are equal if their type and fields
    are. They are not hashable, because most of them are mutable.
    """

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        """Compare type and fields."""
        if type(self) is not type(other):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self._field_names()
        )

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        """Format the type and all fields."""
        fields = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self._field_names()
        )
        return f'{type(self).__name__}({fields})'

    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name, for serialization."""
        return {name: getattr(self, name) for name in self._field_names()}

    @classmethod
    def _field_names(cls) -> tuple[str, ...]:
        return tuple(
            name
            for base in reversed(cls.__mro__)
            for name in base.__dict__.get('__slots__', ())
        )
