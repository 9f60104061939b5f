"""The record of a case: what was sent, answered and run."""

import time
from pathlib import Path


class CaseRecord:
    """Writes lines with the seconds since the start of the case to a file."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._stream = path.open('w', encoding='utf-8')

    @property
    def seconds(self) -> float:
        """The time since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, line: str) -> None:
        """Write one line."""
        self._stream.write(f'{self.seconds:9.4f} {line}\n')

    def say(self, line: str) -> None:
        """Write one line, to standard output as well."""
        self.write(line)
        print(line, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._stream.close()
