"""Which software versions are recorded as lately served, as pure functions.

Gateways record the versions of each service together: any of them may add or
remove some, and several may try at once.
"""

# Gateways that write if those before them in line don't.
WRITERS = 4
# Delay of each further gateway in line.
WRITE_STEP_MS = 700


def write_delay_ms(rank):
    """Return after which time a gateway updates a record that is out of date.

    It is ``None`` for a gateway that leaves it to those before it.
    """
    return rank * WRITE_STEP_MS if rank < WRITERS else None


def updated(recorded, serving, recent):
    """Return what should be recorded.

    All are sets of versions by service: what is recorded, what serves now
    and what serves or served lately, as one gateway knows it.
    """
    found = {
        service: recorded.get(service, frozenset())
        & recent.get(service, frozenset())
        | serving.get(service, frozenset())
        for service in recorded.keys() | serving.keys()
    }
    return {
        service: versions for service, versions in found.items() if versions
    }
