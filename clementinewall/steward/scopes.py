"""The scopes of leases, and which stewards should claim them first.

The endpoints of a data centre form one scope or, in large data centres,
several; a scope never spans data centres.  There is also one scope for
planning roles, one for snapshots of the log, and one per model for the right
to take one of its engines out of service for a change.
"""

import hashlib

from clementinewall.membership import members

PLANNER = "planner"
SNAPSHOTS = "snapshots"
# Delays of a claim by a steward that is not the preferred holder: for each
# place in the ranking, and for being in another data centre.
DELAY_PER_RANK_MS = 700
REMOTE_DELAY_MS = 3_000


def scope_of(endpoint_id, data_centre, shards):
    """Return the scope to which an endpoint belongs."""
    if shards <= 1:
        return f"endpoints/{data_centre}"
    digest = hashlib.blake2b(endpoint_id.encode(), digest_size=4).digest()
    shard = int.from_bytes(digest, "big") % shards
    return f"endpoints/{data_centre}/{shard}of{shards}"


def change_scope(model):
    """Return the scope of the right to change an engine of ``model``."""
    return f"change/{model}"


def endpoint_scopes(view):
    """Return the data centre by scope for all endpoints of ``view``."""
    shards = view.policy.shards
    return {
        scope_of(name, endpoint.data_centre, shards): endpoint.data_centre
        for name, endpoint in view.endpoints_by_id.items()
    }


def claim_delay(scope, data_centre, table):
    """Return how many ms to wait before claiming a free scope.

    ``None`` leaves the scope to others: only a few stewards claim each
    scope, or hundreds of them would append a claim for every expired lease.
    """
    live = [row for row in table.live("steward") if row.state == "live"]
    local_ids = [row.id for row in live if row.data_centre == data_centre]
    others = table.representatives("steward")
    remote_ids = [row.id for row in others if row.data_centre != data_centre]
    ranked = members.rendezvous(scope, local_ids)
    if table.own.id in ranked:
        rank = ranked.index(table.own.id)
        return (
            rank * DELAY_PER_RANK_MS if rank < members.MAX_CANDIDATES else None
        )
    ranked = members.rendezvous(scope, remote_ids)
    if table.own.id in ranked:
        rank = ranked.index(table.own.id)
        if rank < members.MAX_CANDIDATES:
            return REMOTE_DELAY_MS + rank * DELAY_PER_RANK_MS
    return None
