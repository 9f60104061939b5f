"""Tests of methods that are chosen by the type of their first argument."""

import pytest

from lovageshunt._dispatch import DispatchedMethod


class _Machine:
    """Handles texts and numbers apart."""

    def __init__(self) -> None:
        self.handled: list[str] = []

    @DispatchedMethod
    def handle(self, event: object, suffix: str = '') -> str:
        raise TypeError(type(event).__name__)

    @handle.register
    def _on_text(self, event: str, suffix: str = '') -> str:
        self.handled.append(event)
        return f'text {event}{suffix}'

    @handle.register
    def _on_number(self, event: int, suffix: str = '') -> str:
        return f'number {event}{suffix}'


class TestDispatchedMethod:
    """The type of the first argument chooses the method."""

    def test_chooses_by_the_type_of_the_first_argument(self) -> None:
        """Each type has its own handler; other arguments are passed on."""
        machine = _Machine()
        assert machine.handle('a', '!') == 'text a!'
        assert machine.handle(2) == 'number 2'
        assert machine.handled == ['a']

    def test_subclass_of_a_registered_type(self) -> None:
        """A subclass without a handler has that of its base."""
        assert _Machine().handle(True) == 'number True'

    def test_type_without_a_handler(self) -> None:
        """The method itself handles all other types."""
        with pytest.raises(TypeError, match='float'):
            _Machine().handle(1.5)
