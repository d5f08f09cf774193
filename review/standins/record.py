"""The record of a case: what was sent, answered and run, with times in seconds."""

import time
from pathlib import Path


class Record:
    """Writes lines to `record.txt`, each with the time since the case began."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    def now_s(self) -> float:
        """The time since the case began."""
        return time.monotonic() - self.began_at

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()
