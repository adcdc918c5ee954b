"""How many engines read prompts and how many decode, as a pure function.

Load this answers: prompts of 12,000 tokens beside short ones, in a mix that
swings every few seconds.  An engine that decodes reads prompts at less than
a third of the speed of one that only reads, so the more engines read the
sooner first events come, as long as the streams find slots.

A change takes an engine away for seconds, so there are few: up to half at
the start, one back when the streams need the slots, and one after an engine
was lost or replaced.

An engine that decodes can read prompts too, while one that reads runs nothing.
So the loss of the last decoding engine refuses all callers until another one
has changed, which is ordered at once.
"""

import math
import typing

PREFILL_PART = 0.5
# Engines with few slots are full of streams before they are busy reading.
SCARCE_SLOTS = 32
SCARCE_PREFILL_PART = 0.42
# Streams fill this part of the decoding slots: one more engine decodes, if
# that lasts.  Most peaks end before a change pays.
FULL_PART = 0.85
FULL_LASTING_MS = 6_000
# After decoding engines were lost, more than half may be left reading.  Then
# one is given back from this part on, or the decoding ones stay full.
UNEVEN_PART = 0.6
# An engine is given to reading only while the streams would fill at most
# this part of the other engines: at the start, or in a lull.
ROOM_PART = 0.35
LASTING_MS = 1_000
# Without a decoding engine nothing is served, so the change is made at once.
EMPTY_LASTING_MS = 250


class Engine(typing.NamedTuple):
    """An engine with the streams of all gateways on it.

    ``unreachable`` tells that it doesn't answer.
    """

    id: str
    prefill: bool
    streams: int
    slots: int
    unreachable: bool = False


class Change(typing.NamedTuple):
    """That an engine is to read prompts from now on, or to decode.

    The need has to last for ``lasting_ms`` before the change is made.
    ``is_pressing`` tells that nothing is served until then.
    """

    id: str
    prefill: bool
    why: str
    lasting_ms: int = LASTING_MS
    is_pressing: bool = False


def plan(engines):
    """Return the one :class:`Change` to make next, or ``None``."""
    engines = [e for e in engines if not e.unreachable]
    reading = [e for e in engines if e.prefill]
    decoding = [e for e in engines if not e.prefill]
    if reading and not decoding:
        return Change(
            _least(reading).id, False, "none decodes", EMPTY_LASTING_MS, True
        )
    if len(engines) < 2:
        return None
    if not reading:
        return Change(_least(decoding).id, True, "none reads prompts")
    streams = sum(e.streams for e in decoding)
    slots = sum(e.slots for e in decoding)
    wanted = math.floor(len(engines) * _prefill_part(engines) + 0.5)
    if len(reading) > wanted and streams > UNEVEN_PART * slots:
        return Change(_least(reading).id, False, "more than half read prompts")
    if streams > FULL_PART * slots and len(reading) > 1:
        return Change(
            _least(reading).id,
            False,
            "decoding slots are full",
            FULL_LASTING_MS,
        )
    if len(reading) >= wanted or len(decoding) < 2:
        return None
    chosen = _least(decoding)
    if streams > ROOM_PART * (slots - chosen.slots):
        return None
    return Change(chosen.id, True, "fewer than half read prompts")


def _prefill_part(engines):
    slots = sum(engine.slots for engine in engines) / len(engines)
    return PREFILL_PART if slots >= SCARCE_SLOTS else SCARCE_PREFILL_PART


def _least(engines):
    return min(engines, key=lambda e: (e.streams, e.id))
