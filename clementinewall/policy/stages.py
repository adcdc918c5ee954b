"""How many engines prefill and how many decode, as a pure function.

Designed for prompts of 12,000 tokens beside short ones, in a mix that changes
every few seconds.  A decode engine prefills at less than a third of the speed
of a prefill engine, so the more prefill engines there are the sooner first
events come, as long as the streams find slots.

A change makes an engine unavailable for seconds, so there are few: up to half
of the engines at the start, one back when the streams need the slots, and one
after an engine was lost or replaced.

A decode engine can prefill too, while a prefill engine runs no stream.  So
after the loss of the last decode engine all callers are refused until another
engine has changed, which is ordered at once.
"""

import collections
import math
import typing

PREFILL_FRACTION = 0.5
# Engines with few slots run out of them before prefill takes all their time.
SCARCE_SLOTS = 32
SCARCE_PREFILL_FRACTION = 0.42
# When streams take this fraction of the decode slots for this long, one more
# engine decodes.  Most peaks end before a change pays.
FULL_FRACTION = 0.85
FULL_LASTING_MS = 6_000
# After decode engines were lost, more than half of the engines may prefill.
# Then one is changed back from this fraction on, or the decode engines stay
# full.
UNEVEN_FRACTION = 0.6
# An engine changes to prefill only while the streams would take at most this
# fraction of the other engines' slots: at the start, or at low load.
LOW_LOAD_FRACTION = 0.35
LASTING_MS = 1_000
# Without a decode engine nothing is served, so the change is made at once.
NO_DECODE_LASTING_MS = 250


class Engine(typing.NamedTuple):
    """An engine with the streams of all gateways on it.

    ``unreachable`` tells that it doesn't answer requests; ``version`` is that
    of its software, at which its streams have to go on.
    """

    id: str
    prefill: bool
    streams: int
    slots: int
    unreachable: bool = False
    version: str = ""


class Change(typing.NamedTuple):
    """A change of one engine to prefill or to decode.

    The reason has to persist for ``lasting_ms`` before the change is made.
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
    prefill_engines = [e for e in engines if e.prefill]
    decode_engines = [e for e in engines if not e.prefill]
    if prefill_engines and not decode_engines:
        return Change(
            _least_loaded(prefill_engines).id,
            False,
            "none decodes",
            NO_DECODE_LASTING_MS,
            True,
        )
    if len(engines) < 2:
        return None
    if not prefill_engines:
        return Change(
            _best_to_prefill(decode_engines).id, True, "none reads prompts"
        )
    streams = sum(e.streams for e in decode_engines)
    slots = sum(e.slots for e in decode_engines)
    wanted = math.floor(len(engines) * _prefill_fraction(engines) + 0.5)
    if len(prefill_engines) > wanted and streams > UNEVEN_FRACTION * slots:
        return Change(
            _best_to_decode(prefill_engines, decode_engines).id,
            False,
            "more than half read prompts",
        )
    if streams > FULL_FRACTION * slots and len(prefill_engines) > 1:
        return Change(
            _best_to_decode(prefill_engines, decode_engines).id,
            False,
            "decoding slots are full",
            FULL_LASTING_MS,
        )
    if len(prefill_engines) >= wanted or len(decode_engines) < 2:
        return None
    chosen = _best_to_prefill(decode_engines)
    if streams > LOW_LOAD_FRACTION * (slots - chosen.slots):
        return None
    return Change(chosen.id, True, "fewer than half read prompts")


def _prefill_fraction(engines):
    slots = sum(engine.slots for engine in engines) / len(engines)
    return (
        PREFILL_FRACTION if slots >= SCARCE_SLOTS else SCARCE_PREFILL_FRACTION
    )


def _least_loaded(engines):
    return min(engines, key=lambda e: (e.streams, e.id))


def _best_to_decode(prefill_engines, decode_engines):
    """Return the engine to change, of a version that none decodes if any.

    A stream that breaks off can only go on at its version.
    """
    decoded = {engine.version for engine in decode_engines}
    missing = [e for e in prefill_engines if e.version not in decoded]
    return _least_loaded(missing or prefill_engines)


def _best_to_prefill(decode_engines):
    """Return the engine to change, which its version can spare if any."""
    counts = collections.Counter(e.version for e in decode_engines)
    spare = [e for e in decode_engines if counts[e.version] > 1]
    return _least_loaded(spare or decode_engines)
