"""Which scopes there are and who should preferably hold them.

The endpoints of a data centre are one scope or, in large data centres,
several; a scope never spans data centres.  Beside these there is one scope
for planning roles, one for snapshots of the log, and one a model for the
right to take one of its engines away from work.
"""

import hashlib

from clementinewall.membership import members

PLANNER = "planner"
SNAPSHOTS = "snapshots"
# Extra wait of a steward that is not the preferred holder, by rank.
PATIENCE_MS = 700
FAR_PATIENCE_MS = 3_000


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
    """Return the scopes by name with their data centre."""
    shards = view.policy.shards
    return {
        scope_of(name, endpoint.data_centre, shards): endpoint.data_centre
        for name, endpoint in view.endpoints_by_id.items()
    }


def patience(scope, data_centre, table):
    """Return how long to wait before claiming a free scope.

    ``None`` leaves the scope to others: only a few stewards try for each,
    or every lost lease would cost an append by each of hundreds.
    """
    live = [row for row in table.live("steward") if row.state == "live"]
    home = [row.id for row in live if row.data_centre == data_centre]
    others = table.representatives("steward")
    away = [row.id for row in others if row.data_centre != data_centre]
    order = members.rendezvous(scope, home)
    if table.own.id in order:
        rank = order.index(table.own.id)
        return rank * PATIENCE_MS if rank < members.MAX_CANDIDATES else None
    order = members.rendezvous(scope, away)
    if table.own.id in order:
        rank = order.index(table.own.id)
        if rank < members.MAX_CANDIDATES:
            return FAR_PATIENCE_MS + rank * PATIENCE_MS
    return None
