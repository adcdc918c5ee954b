"""What the scripts share: the record, the start and the end of a case."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
import traceback

HELD = 0
BROKEN = 1
NOT_RUN = 2


def has_trouble():
    """Tell whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        """Write into ``folder``."""
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._started = time.monotonic()
        self.rows = []

    def __call__(self, event, **fields):
        """Add a line."""
        at = round(time.monotonic() - self._started, 3)
        self.rows.append({"at": at, "event": event, **fields})
        self._file.write(json.dumps(self.rows[-1]) + "\n")

    def of(self, event):
        """Return the lines of one event."""
        return [row for row in self.rows if row["event"] == event]

    def say(self, text):
        """Add a line for the reader and print it."""
        self._file.write(f"# {text}\n")
        print(text, flush=True)

    def close(self):
        """Write all that is left."""
        self._file.close()


def run(folder, play, seconds=110):
    """Run ``play(record)``, which returns whether the rule was broken."""
    record = Record(folder)

    # Ended from outside, the case still ends all processes it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def bounded():
        async with asyncio.timeout(seconds):
            return await play(record)

    try:
        is_broken = asyncio.run(bounded())
    except Exception:
        record.say("the case could not run: " + traceback.format_exc())
        record.close()
        sys.exit(NOT_RUN)
    record.say("the rule was broken" if is_broken else "the rule held")
    record.close()
    sys.exit(BROKEN if is_broken else HELD)
