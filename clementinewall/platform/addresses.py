"""The question of callers where to connect, and its answer."""

import json
import urllib.parse

PATH = b"/resolve"
READY_PATH = b"/ready"
# Callers use no more addresses of one answer.
MAX_ADDRESSES = 64


def requested_data_centre(target):
    """Return the caller's data centre, or ``None``."""
    _, _, query = target.decode("latin-1").partition("?")
    values = urllib.parse.parse_qs(query).get("zone")
    return values[0] if values else None


def encode_answer(addresses, ttl_ms):
    """Return the body of the answer."""
    return json.dumps(
        {"addresses": list(addresses[:MAX_ADDRESSES]), "ttl_s": ttl_ms / 1_000}
    ).encode()
