"""Encoding of the records that keep the origins of streams.

A record is a compressed JSON object; ``origins`` has a row for each service,
version and lifetime in ms, with the attempts of the streams that began there.
"""

import collections
import json
import typing
import zlib

from clementinewall import clock
from clementinewall import domain

LEVEL = 1
# A record that is longer when decompressed is malformed.
MAX_DECODED_BYTES = 1_000_000
MAX_RECORD_BYTES = 60_000
MAX_LIFETIME_MS = 600_000
# Lifetimes are rounded up to a multiple, so that streams of a route share one.
LIFETIME_STEP_MS = 1_000
# For the braces, the writer's address, and data that compression lengthens.
_SPARE_BYTES = 600
_DECODE_ERRORS = (
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
    zlib.error,
)


class Malformed(Exception):
    """A record cannot be decoded."""


class Row(typing.NamedTuple):
    """At which version of a service the stream of an attempt began."""

    attempt: str
    service: str
    version: str
    lifetime_ms: clock.Millis


def encode(rows, max_bytes):
    """Return the first rows as the value of a record, and those rows.

    The record has one of them at least; the rest doesn't fit it.
    """
    room = min(max_bytes, MAX_RECORD_BYTES) - _SPARE_BYTES
    attempts_by_group = collections.defaultdict(list)
    taken = []
    for row in rows:
        lifetime_ms = -(-row.lifetime_ms // LIFETIME_STEP_MS)
        group = row.service, row.version, lifetime_ms * LIFETIME_STEP_MS
        room -= len(_dump(row.attempt)) + 1
        if group not in attempts_by_group:
            room -= len(_dump(group)) + 4
        if room < 0 and taken:
            break
        attempts_by_group[group].append(row.attempt)
        taken.append(row)
    groups = [[*group, found] for group, found in attempts_by_group.items()]
    return zlib.compress(_dump({"origins": groups}), LEVEL), taken


def _dump(data):
    return json.dumps(data, separators=(",", ":")).encode()


def decode(value):
    """Return the rows in the value of a record.

    :raises Malformed: it cannot be decoded.
    """
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(value or b"", MAX_DECODED_BYTES)
        return [
            Row(
                _text(attempt),
                _text(service),
                _text(version),
                _lifetime_ms(lifetime_ms),
            )
            for service, version, lifetime_ms, found in json.loads(raw)[
                "origins"
            ]
            for attempt in _list(found)
        ]
    except _DECODE_ERRORS as exc:
        raise Malformed(f"{exc!r}"[: domain.MAX_TEXT]) from exc


def _text(value):
    if type(value) is not str or len(value) > domain.MAX_TEXT:
        raise ValueError("a text of a row is none, or too long")
    return value


def _list(value):
    if type(value) is not list:
        raise ValueError("the attempts of a row are no list")
    return value


def _lifetime_ms(value):
    if type(value) is not int or value < 0:
        raise ValueError("a lifetime is no positive integer")
    return min(value, MAX_LIFETIME_MS)
