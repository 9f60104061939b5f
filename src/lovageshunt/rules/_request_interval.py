"""How long to wait between questions for the same parts."""

from typing import Final

#: So many questions without any progress are asked at the quick pace.
_QUICK_QUESTIONS: Final = 8
#: After these, the time between two is so many times as long.
_SLOW_FACTOR: Final = 4


class Pace:
    """Slows down when nothing comes of questions.

    When a whole fleet starts at once, questions alone would use up what
    its nodes may send, and leave nothing for the answers.
    """

    __slots__ = ('_seconds', '_missing', '_questions')

    def __init__(self, seconds: float) -> None:
        """Take the quick pace: the time between two questions."""
        self._seconds = seconds
        self._missing: tuple[str, ...] = ()
        self._questions = 0

    def next(self, missing: tuple[str, ...]) -> float:
        """Return the time until the next question about what is missing."""
        if missing != self._missing:
            self._missing = missing
            self._questions = 0
        self._questions += 1
        if self._questions <= _QUICK_QUESTIONS:
            return self._seconds
        return self._seconds * _SLOW_FACTOR
