"""An entry whose address can't be read ends all gateways, again and again."""

import pathlib

from review.standins import entries
from review.standins import scene

# What another writer left: bytes that can't be read where an address is due.
UNREADABLE_ADDRESS = "::1%\ufffd\ufffd:8080"
# The rule allows three requests.
ALLOWED = 3


def _entry(row_by_name):
    row = row_by_name["engine-3"] | {"address": UNREADABLE_ADDRESS}
    return "engine-9", row


async def play(record):
    """Return whether LOST was broken."""
    await entries.play(record, _entry)
    entries.summarise(record)
    return len(entries.lost(record)) > ALLOWED


if __name__ == "__main__":
    scene.run(pathlib.Path(__file__).parent, play)
