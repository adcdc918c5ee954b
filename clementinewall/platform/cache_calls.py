"""Requests for what an engine keeps in its cache, and their answers."""

import json

from clementinewall import domain
from clementinewall import errors
from clementinewall.http1 import messages
from clementinewall.platform import records


def cached_parts_request():
    """Return the request for the prompt parts in an engine's cache."""
    return messages.Request(b"GET", b"/kv-list", ((b"Host", b"engine"),))


def decode_cached_parts(body):
    """Decode all cached prompt parts into a :class:`domain.CacheChange`.

    :raises BadRecord: the body is not a list of parts.
    """
    return _decode_cache_change(body, "held", 1)


def cache_changes_request(since, wait_ms):
    """Return the request for the changes to an engine's cache.

    The engine answers at the first change from ``since`` on, at the latest
    after ``wait_ms``.
    """
    target = f"/kv-events?since={since}".encode()
    headers = ((b"Host", b"engine"), (b"Wait-Ms", str(wait_ms).encode()))
    return messages.Request(b"GET", target, headers)


def decode_cache_changes(body):
    """Decode the changes to a cache into a :class:`domain.CacheChange`.

    :raises BadRecord: the body is not a list of changes.
    """
    return _decode_cache_change(body, "events", 3)


def _decode_cache_change(body, name, id_index):
    """Decode rows of parts; the part's id is at ``id_index`` of each row."""
    try:
        data = json.loads(body)
        return domain.CacheChange(
            str(data["epoch"]),
            int(data["next"]),
            tuple(
                domain.PromptPart(
                    str(row[id_index]), max(0, int(row[id_index + 1]))
                )
                for row in data[name]
            ),
            bool(data.get("lost", False)),
        )
    except records.DECODE_ERRORS as exc:
        raise errors.BadRecord(
            f"cannot decode the {name} of a cache: {exc!r}"
        ) from exc
