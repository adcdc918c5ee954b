"""The request by which callers look up addresses, and its answer."""

import json
import urllib.parse

PATH = b"/resolve"
READY_PATH = b"/ready"
# Callers ignore any further addresses of one answer.
MAX_ADDRESSES = 64


def requested_data_centre(target):
    """Return the data centre that the caller names, or ``None``."""
    _, _, query = target.decode("latin-1").partition("?")
    values = urllib.parse.parse_qs(query).get("zone")
    return values[0] if values else None


def encode_answer(addresses, ttl_ms):
    """Return the body of the answer, with the TTL converted to seconds."""
    return json.dumps(
        {"addresses": list(addresses[:MAX_ADDRESSES]), "ttl_s": ttl_ms / 1_000}
    ).encode()
