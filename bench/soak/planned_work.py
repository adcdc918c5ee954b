"""Planned work: stops, hang-ups, new configurations, endpoints that leave."""

import signal
import subprocess
import time

from bench.soak import bounds
from bench.soak import ledger as ledger_module

# Seconds between a SIGTERM and a second signal to the same process.
SECOND_SIGNAL_SECONDS = (0.0, 2.5)
# Seconds between a start and the SIGTERM that follows soon.
SOON_SECONDS = (0.2, 2.5)
SERIES = 3
SERIES_GAP_SECONDS = 0.15
KILL_SECONDS = 2


def stop(deployment, length):
    """Stop a gateway and start it again."""
    return _stop_one(deployment, length)


def stop_two(deployment, length):
    """Stop two gateways within a second."""
    drawn = deployment.draw.sample(deployment.gateways, 2)
    gap = deployment.draw.uniform(0, 1)
    names = [name for name in drawn if deployment.reserve(name)]

    def both():
        threads = []
        for name in names:
            threads.append(
                deployment.later(_stop_and_restart, deployment, name, length)
            )
            time.sleep(gap)
        for thread in threads:
            thread.join()

    return deployment.later(both)


def stop_twice(deployment, length):
    """Stop a gateway, and send SIGTERM again while it drains."""
    return _stop_one(deployment, length, signal.SIGTERM)


def hang_up_in_drain(deployment, length):
    """Stop a gateway, and send SIGHUP while it drains."""
    return _stop_one(deployment, length, signal.SIGHUP)


def stop_after_start(deployment, length):
    """Stop a gateway, start it again and stop it soon after."""
    name = deployment.reserve_gateway()
    if name is None:
        return None
    soon = deployment.draw.uniform(*SOON_SECONDS)

    def twice():
        _stop_and_wait(deployment, name, length)
        deployment.case.dep.start(name)
        time.sleep(soon)
        deployment.note(f"{name} was started {soon:.1f} s ago")
        _stop_and_wait(deployment, name, length)
        deployment.restart(name, length)

    return deployment.later(twice)


def hang_up_and_stop(deployment, length):
    """Send SIGHUP, and SIGTERM at once after it."""
    name = deployment.reserve_gateway()
    if name is None:
        return None
    _hang_up(deployment, name)
    return deployment.later(_stop_and_restart, deployment, name, length)


def hang_up(deployment, _length):
    """Send SIGHUP to a gateway that serves."""
    name = deployment.draw.choice(deployment.gateways)
    if (
        not deployment.is_reserved(name)
        and deployment.process(name).poll() is None
    ):
        _hang_up(deployment, name)


def change(deployment, _length):
    """Publish a new configuration."""
    deployment.note("a new configuration")
    deployment.publish()


def change_in_series(deployment, length):
    """Publish several configurations in a short time."""
    for _ in range(SERIES):
        change(deployment, length)
        time.sleep(SERIES_GAP_SECONDS)


def leave(deployment, length):
    """Let an endpoint drain and end, and bring another one."""
    name = deployment.reserve_endpoint()
    if name is None:
        return None
    old = deployment.backend_by_name[name]
    deployment.note(f"{name} leaves")
    old.drain()

    def end():
        time.sleep(bounds.LEAVING_SECONDS + length)
        old.end()
        deployment.replace_endpoint(name, old)

    return deployment.later(end)


def _hang_up(deployment, name):
    deployment.note(f"{name} is told of new settings")
    deployment.process(name).send_signal(signal.SIGHUP)


def _stop_one(deployment, length, second_signal=None):
    name = deployment.reserve_gateway()
    if name is None:
        return None
    second = None
    if second_signal is not None:
        after = deployment.draw.uniform(*SECOND_SIGNAL_SECONDS)
        second = (second_signal, after)
    return deployment.later(
        _stop_and_restart, deployment, name, length, second
    )


def _stop_and_restart(deployment, name, length, second=None):
    _stop_and_wait(deployment, name, length, second)
    deployment.restart(name, length)


def _stop_and_wait(deployment, name, length, second=None):
    """Send SIGTERM and note how the process ended."""
    process = deployment.process(name)
    was_ready = deployment.case.is_ready(name)
    deployment.note(f"{name} is asked to stop")
    total = bounds.GRACE_SECONDS + length + 2 * bounds.CALM_SECONDS
    deployment.ledger.trouble("term", name, total, is_planned=True)
    at = time.monotonic()
    process.terminate()
    if second is not None:
        number, after = second
        time.sleep(after)
        deployment.note(f"{name} gets {number.name} in its drain")
        process.send_signal(number)
    code = None
    try:
        left = at + bounds.GRACE_SECONDS + KILL_SECONDS - time.monotonic()
        code = process.wait(left)
    except subprocess.TimeoutExpired:
        deployment.case.dep.kill(name)
    row = ledger_module.Stop(name, at, time.monotonic(), was_ready, code)
    deployment.ledger.add(deployment.ledger.stops, row)
