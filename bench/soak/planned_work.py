"""Planned work: stops, SIGHUP, new configurations, draining endpoints."""

import signal
import subprocess
import time

from bench.soak import bounds
from bench.soak import history as history_module

# Seconds between a SIGTERM and a second signal to the same process.
SECOND_SIGNAL_SECONDS = (0.0, 2.5)
# Seconds between a start and the SIGTERM that follows it.
UPTIME_SECONDS = (0.2, 2.5)
SERIES_LENGTH = 3
SERIES_GAP_SECONDS = 0.15
# Seconds beyond the grace after which a process is killed.
EXIT_SLACK_SECONDS = 2


def stop(deployment, length):
    """Stop a gateway and start it again."""
    return _stop_one(deployment, length)


def stop_two(deployment, length):
    """Stop two gateways within a second."""
    drawn = deployment.rng.sample(deployment.gateways, 2)
    gap = deployment.rng.uniform(0, 1)
    names = [name for name in drawn if deployment.reserve(name)]

    def both():
        threads = []
        for name in names:
            threads.append(
                deployment.run_in_thread(
                    _stop_and_restart, deployment, name, length
                )
            )
            time.sleep(gap)
        for thread in threads:
            thread.join()

    return deployment.run_in_thread(both)


def stop_twice(deployment, length):
    """Stop a gateway, and send SIGTERM again while it drains."""
    return _stop_one(deployment, length, signal.SIGTERM)


def reload_while_draining(deployment, length):
    """Stop a gateway, and send SIGHUP while it drains."""
    return _stop_one(deployment, length, signal.SIGHUP)


def stop_after_start(deployment, length):
    """Stop a gateway, start it again and stop it shortly after."""
    name = deployment.reserve_gateway()
    if name is None:
        return None
    uptime = deployment.rng.uniform(*UPTIME_SECONDS)

    def twice():
        _stop_and_wait(deployment, name, length)
        deployment.case.dep.start(name)
        time.sleep(uptime)
        deployment.record_fault(f"{name} was started {uptime:.1f} s ago")
        _stop_and_wait(deployment, name, length)
        deployment.restart(name, length)

    return deployment.run_in_thread(twice)


def reload_and_stop(deployment, length):
    """Send SIGHUP, immediately followed by SIGTERM."""
    name = deployment.reserve_gateway()
    if name is None:
        return None
    _send_sighup(deployment, name)
    return deployment.run_in_thread(
        _stop_and_restart, deployment, name, length
    )


def reload(deployment, _length):
    """Send SIGHUP to a running gateway."""
    name = deployment.rng.choice(deployment.gateways)
    if (
        not deployment.is_reserved(name)
        and deployment.process(name).poll() is None
    ):
        _send_sighup(deployment, name)


def publish_configuration(deployment, _length):
    """Publish a new configuration."""
    deployment.record_fault("a new configuration is published")
    deployment.publish()


def publish_series(deployment, length):
    """Publish several configurations in a short time."""
    for _ in range(SERIES_LENGTH):
        publish_configuration(deployment, length)
        time.sleep(SERIES_GAP_SECONDS)


def drain_endpoint(deployment, length):
    """Drain and end an endpoint, and replace it by a new one."""
    name = deployment.reserve_endpoint()
    if name is None:
        return None
    old = deployment.backend_by_name[name]
    deployment.record_fault(f"{name} drains")
    old.drain()

    def end():
        time.sleep(bounds.DRAINING_SECONDS + length)
        old.end()
        deployment.replace_endpoint(name, old)

    return deployment.run_in_thread(end)


def _send_sighup(deployment, name):
    deployment.record_fault(f"{name} gets SIGHUP")
    deployment.process(name).send_signal(signal.SIGHUP)


def _stop_one(deployment, length, second_signal=None):
    name = deployment.reserve_gateway()
    if name is None:
        return None
    second = None
    if second_signal is not None:
        after = deployment.rng.uniform(*SECOND_SIGNAL_SECONDS)
        second = (second_signal, after)
    return deployment.run_in_thread(
        _stop_and_restart, deployment, name, length, second
    )


def _stop_and_restart(deployment, name, length, second=None):
    _stop_and_wait(deployment, name, length, second)
    deployment.restart(name, length)


def _stop_and_wait(deployment, name, length, second=None):
    """Send SIGTERM and record how the process ended."""
    process = deployment.process(name)
    was_ready = deployment.case.is_ready(name)
    deployment.record_fault(f"{name} gets SIGTERM")
    total = bounds.GRACE_SECONDS + length + 2 * bounds.RECOVERY_SECONDS
    deployment.history.record_disturbance("term", name, total, is_planned=True)
    at = time.monotonic()
    process.terminate()
    if second is not None:
        number, after = second
        time.sleep(after)
        deployment.record_fault(f"{name} gets {number.name} while draining")
        process.send_signal(number)
    code = None
    try:
        left = (
            at + bounds.GRACE_SECONDS + EXIT_SLACK_SECONDS - time.monotonic()
        )
        code = process.wait(left)
    except subprocess.TimeoutExpired:
        deployment.case.dep.kill(name)
    row = history_module.Stop(name, at, time.monotonic(), was_ready, code)
    deployment.history.add(deployment.history.stops, row)
