"""What sound endpoints do: ask for less, announce their end, fall silent.

None of it excuses a loss.
"""

import time

from bench.soak import bounds

REQUESTED_REST_SECONDS = (1.0, 3.0)
SILENCE_SECONDS = (0.8, 1.3)
LIMITED_SECONDS = (6.0, 9.0)
REQUESTS_PER_SECOND = (1.0, 6.0)


def rest(deployment, rng, length):
    """Let an endpoint refuse work and ask for rest."""
    name = rng.choice(sorted(deployment.backend_by_name))
    _rest(deployment, rng, [name], length)


def rest_all(deployment, rng, length):
    """Let all endpoints of a service refuse work and ask for rest."""
    service = rng.choice(("app", "model"))
    backends = list(deployment.backend_by_name.values())
    names = [each.name for each in backends if each.service == service]
    _rest(deployment, rng, sorted(names), length)


def _rest(deployment, rng, names, length):
    requested = round(rng.uniform(*REQUESTED_REST_SECONDS), 1)
    deployment.record_fault(
        f"{', '.join(names)} refuse work for {length:.1f} s and ask for"
        f" {requested:.1f} s of rest"
    )
    for name in names:
        backend = deployment.backend_by_name.get(name)
        if backend is not None:
            backend.rest(length, requested)


def name_limit(deployment, rng, _length):
    """Let an endpoint name a request limit for some seconds."""
    name = rng.choice(sorted(deployment.backend_by_name))
    per_second = round(rng.uniform(*REQUESTS_PER_SECOND), 1)
    seconds = rng.uniform(*LIMITED_SECONDS)
    deployment.record_fault(
        f"{name} names a limit of {per_second} a second for {seconds:.1f} s"
    )
    backend = deployment.backend_by_name.get(name)
    if backend is not None:
        backend.name_limit(per_second, seconds)


def fall_silent(deployment, rng, _length):
    """Let an endpoint send nothing for about a second."""
    name = rng.choice(sorted(deployment.backend_by_name))
    seconds = rng.uniform(*SILENCE_SECONDS)
    deployment.record_fault(f"{name} is silent for {seconds:.1f} s")
    backend = deployment.backend_by_name.get(name)
    if backend is not None:
        backend.fall_silent(seconds)


def announce_leave(deployment, rng, length):
    """Let an endpoint announce its end in its answers, drain and end.

    Its record says ready until it drains.
    """
    name = rng.choice(sorted(deployment.backend_by_name))
    old = deployment.backend_by_name.get(name)
    if old is None or not deployment.reserve(name):
        return None
    # Others of the service remain to take its work.
    turn = f"announced leave of {old.service}"
    if not deployment.reserve(turn):
        deployment.release(name)
        return None
    deployment.record_fault(f"{name} announces that it leaves")
    old.announce_leaving()

    def leave():
        time.sleep(bounds.DRAINING_SECONDS + length)
        deployment.record_fault(f"{name} drains")
        old.drain()
        time.sleep(bounds.DRAINING_SECONDS + length)
        old.end()
        deployment.replace_endpoint(name, old)
        deployment.release(turn)

    return deployment.run_in_thread(leave)
