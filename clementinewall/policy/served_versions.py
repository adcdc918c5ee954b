"""Which software versions are recorded as lately served, as pure functions.

Gateways record the versions of each service together: any of them may add or
remove some, and several may try at once.
"""

# Delay of each further gateway in line.  Each writes if those before it don't:
# these may all be cut from the store, or of a build that knows no record.
WRITE_STEP_MS = 700


def write_delay_ms(rank):
    """Return after which time a gateway updates a record that is out of date.

    One that was updated meanwhile costs a read.
    """
    return rank * WRITE_STEP_MS


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
