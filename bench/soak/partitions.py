"""Gateways that are cut off from endpoints; all else still reaches them.

For the guarantees such a gateway counts as undisturbed: its callers must be
served by way of others.
"""

import collections
import time

from bench.soak import bounds
from bench.soak import history as history_module

MODES = ("hang", "reset", "refuse")
CUT_SECONDS = (4.0, 8.0)
# After the end of a cut gateways are judged as long as after its start.
HEALED_SECONDS = bounds.STABLE_SECONDS + 3.0


def cut_one(deployment, rng):
    """Cut off a gateway from all endpoints."""
    return _cut(deployment, rng, [rng.choice(deployment.gateways)])


def cut_most(deployment, rng):
    """Cut off all gateways but one from all endpoints."""
    spared = rng.choice(deployment.gateways)
    names = [name for name in deployment.gateways if name != spared]
    return _cut(deployment, rng, names)


def cut_all(deployment, rng):
    """Cut off all gateways from all endpoints."""
    return _cut(deployment, rng, deployment.gateways)


def cut_data_centre(deployment, rng):
    """Cut off all gateways of the largest data centre from all endpoints."""
    names_by_data_centre = collections.defaultdict(list)
    for name, data_centre in deployment.data_centre_by_gateway.items():
        names_by_data_centre[data_centre].append(name)
    return _cut(deployment, rng, max(names_by_data_centre.values(), key=len))


def cut_some(deployment, rng):
    """Cut off a gateway from some of the endpoints."""
    backends = sorted(
        deployment.backend_by_name.values(), key=lambda each: each.name
    )
    chosen = rng.sample(backends, max(1, len(backends) // 2))
    name = rng.choice(deployment.gateways)
    return _cut(deployment, rng, [name], [each.address for each in chosen])


def _cut(deployment, rng, names, targets=None):
    names = [n for n in names if deployment.reserve(f"egress-{n}")]
    if not names:
        return None
    mode = rng.choice(MODES)
    seconds = rng.uniform(*CUT_SECONDS)
    whom = "all endpoints" if targets is None else f"{len(targets)} endpoints"
    deployment.record_fault(
        f"{', '.join(names)} cut off from {whom} for {seconds:.1f} s ({mode})"
    )
    start = time.monotonic()
    for name in names:
        # Links that break or hang, and the gateways that carry others, excuse
        # single requests; the share that is served is judged by itself.
        deployment.history.record_disturbance(
            history_module.CUT, name, seconds + HEALED_SECONDS
        )
        deployment.case.cut(name, mode, targets)

    def judge(since, until):
        if targets is None:
            row = history_module.Cut(tuple(names), since, until)
            deployment.history.add(deployment.history.cuts, row)

    judge(start, start + seconds)

    def heal():
        time.sleep(seconds)
        for name in names:
            deployment.case.cut(name, "ok")
        end = time.monotonic()
        judge(end, end + HEALED_SECONDS)
        # Another cut may begin only when this one's end is judged.
        deployment.stopping.wait(HEALED_SECONDS)
        for name in names:
            deployment.release(f"egress-{name}")

    return deployment.run_in_thread(heal)
