"""The loss of gateways beside the release of a newer engine version."""

import time

from bench.soak import bounds
from bench.soak import history as history_module

# Engines of a release, besides those that are there.
ENGINES = 3
# How long both versions serve before the older one leaves.
OVERLAP_SECONDS = (0.5, 2.0)
# Between the leaving of the older version and the loss.
LEFT_SECONDS = (0.1, 1.5)
DOWN_SECONDS = (0.2, 2.0)
# When the older version leaves.
BEFORE = "before the loss"
MEANWHILE = "while gateways are down"
NEVER = "not before the next release"
LEAVING_TIMES = (BEFORE, MEANWHILE, NEVER)


def lose_all(deployment, rng):
    """Kill all gateways at once, beside a release."""
    _play(deployment, rng, [deployment.gateways])


def lose_most(deployment, rng):
    """Kill all gateways but one at once, beside a release."""
    count = len(deployment.gateways) - 1
    _play(deployment, rng, [rng.sample(deployment.gateways, count)])


def lose_each(deployment, rng):
    """Kill one gateway after another, beside a release."""
    names = rng.sample(deployment.gateways, len(deployment.gateways))
    _play(deployment, rng, [[name] for name in names])


def _play(deployment, rng, groups):
    """Play a release and a loss, unless another fault holds a gateway.

    Gateways of one group are killed at once, and the next group is killed
    after all are ready again.
    """
    reserved = [n for n in deployment.gateways if deployment.reserve(n)]
    if reserved == deployment.gateways:
        leaving = rng.choice(LEAVING_TIMES)
        deployment.record_fault(
            f"a release; the older version leaves {leaving};"
            f" {groups} are killed"
        )
        _release_and_lose(deployment, rng, groups, leaving)
    for name in reserved:
        deployment.release(name)


def _release_and_lose(deployment, rng, groups, leaving):
    older = [
        backend
        for name, backend in list(deployment.backend_by_name.items())
        if backend.service == "model" and deployment.reserve(name)
    ]
    deployment.add_release(ENGINES)
    time.sleep(rng.uniform(*OVERLAP_SECONDS))
    excused = len(groups) * (DOWN_SECONDS[1] + bounds.RESTART_SECONDS)
    for name in (None, *deployment.gateways):
        deployment.history.record_disturbance("loss", name, excused)
    if leaving == BEFORE:
        for backend in older:
            backend.drain()
        time.sleep(rng.uniform(*LEFT_SECONDS))
    lost_at = time.monotonic()
    for number, group in enumerate(groups):
        for name in group:
            deployment.process(name).kill()
        for name in group:
            deployment.process(name).wait()
        if leaving != NEVER and not number:
            for backend in older:
                backend.end()
                deployment.backend_by_name.pop(backend.name)
        time.sleep(rng.uniform(*DOWN_SECONDS))
        for name in group:
            deployment.case.dep.start(name)
        for name in deployment.gateways:
            deployment.wait_ready(name)
    ready_at = time.monotonic()
    time.sleep(bounds.REJOIN_SECONDS + bounds.JUDGED_REJOIN_SECONDS)
    row = history_module.Restart(lost_at, ready_at, time.monotonic())
    deployment.history.add(deployment.history.rejoins, row)
    for backend in older:
        deployment.release(backend.name)
