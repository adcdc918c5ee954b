"""Entries of another writer among those of the endpoints.

Each names no endpoint to use; the others hold.  Gateways that end by one are
found by the check of all runs.
"""

import json
import time

LIFETIME_SECONDS = (0.5, 4.0)
ODD_ID_FRACTION = 0.3
SOUND = {
    "service": "model",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slot_count": 16,
    "state": "ready",
    "stage": "prefill",
    "sequence": 1,
    "born": 1_000,
}


def _nested(depth):
    return json.loads("[" * depth + "]" * depth)


ODD_FIELDS = (
    {"address": "127.0.0.1:٩"},
    {"address": "127.0.0.1:70000"},
    {"address": "127.0.0.1:0"},
    {"address": "::1%\ufffd\ufffd:9"},
    {"address": "fe80::1%" + "x" * 300 + ":9"},
    {"stage": _nested(900)},
    {"stage": {"a": _nested(400)}},
    {"stage": "sideways"},
    {"other": _nested(900)},
    {"slot_count": 2**70},
    {"slot_count": 2**63},
    {"slot_count": -1},
    {"born": 2**62},
    {"born": -(2**62)},
    {"version": "v" * 200_000},
    {"version": "v\nv"},
    {"version": "\ud800"},
    {"zone": "\ud800"},
    {"zone": ["a"]},
    {"service": "model\r\nX: y"},
)
ODD_IDS = (
    "\x00",
    "!\r\nX: y",
    " engine",
    "engine-0\x00\ufffd",
    "é",
    "x" * 250,
)


def write(deployment, rng):
    """Write an odd entry, and remove it after a while."""
    name, fields = "odd", {}
    if rng.random() < ODD_ID_FRACTION:
        name = rng.choice(ODD_IDS)
    else:
        fields = rng.choice(ODD_FIELDS)
    if not deployment.reserve(f"entry {name}"):
        return None
    deployment.record_fault(f"an odd entry {name!r}: {str(fields)[:60]}")
    deployment.put(name, {**SOUND, **fields})
    seconds = rng.uniform(*LIFETIME_SECONDS)

    def remove():
        time.sleep(seconds)
        deployment.put(name, None)
        deployment.release(f"entry {name}")

    return deployment.run_in_thread(remove)
