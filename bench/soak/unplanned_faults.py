"""Faults: pauses, kills, crashes, disturbed connections and store."""

import time

import httpx

from bench.soak import bounds

PROXY_MODES = ("blackhole", "to_target", "to_client", "refuse", "slow", "cut")


def pause(deployment, length):
    """Pause a gateway."""
    name = deployment.reserve_gateway()
    if name is None:
        return None
    deployment.record_fault(f"{name} is paused for {length:.1f} s")
    deployment.history.record_disturbance(
        "pause", name, length + bounds.RECOVERY_SECONDS
    )
    deployment.case.dep.pause(name)

    def resume():
        time.sleep(length)
        deployment.case.dep.resume(name)
        deployment.release(name)

    return deployment.run_in_thread(resume)


def kill(deployment, length):
    """Kill a gateway and start it again."""
    name = deployment.reserve_gateway()
    if name is None:
        return None
    deployment.record_fault(f"{name} is killed for {length:.1f} s")
    deployment.history.record_disturbance(
        "kill", name, length + 2 * bounds.RECOVERY_SECONDS
    )
    deployment.case.dep.kill(name)
    return deployment.run_in_thread(deployment.restart, name, length)


def crash(deployment, length):
    """Crash an endpoint and replace it by a new one."""
    name = deployment.reserve_endpoint()
    if name is None:
        return None
    old = deployment.backend_by_name[name]
    deployment.record_fault(f"{name} crashes")
    deployment.history.record_disturbance("crash", name, float("inf"))
    old.end(crash=True)

    def replace():
        time.sleep(length)
        deployment.put(old.name, None)
        deployment.replace_endpoint(name, old)

    return deployment.run_in_thread(replace)


def disturb_proxy(deployment, length):
    """Disturb the connections through a proxy."""
    name, served = deployment.rng.choice(deployment.proxies)
    mode = deployment.rng.choice(PROXY_MODES)
    if not deployment.reserve(name):
        return None
    deployment.record_fault(f"{name} is in mode {mode} for {length:.1f} s")
    deployment.history.record_disturbance(
        mode, served, length + bounds.RECOVERY_SECONDS
    )
    _set_proxy(deployment, name, mode)

    def restore():
        time.sleep(length)
        _set_proxy(deployment, name, "ok")
        deployment.release(name)

    return deployment.run_in_thread(restore)


def _set_proxy(deployment, name, mode):
    control = deployment.case.dep.address_by_name[f"{name}-control"]
    httpx.post(
        f"http://{control}/faults",
        json={"mode": mode, "after": 200, "delay_ms": 60},
        timeout=10,
        trust_env=False,
    )


def disturb_store(deployment, length):
    """Let the store refuse requests or not answer them."""
    if not deployment.reserve("store"):
        return None
    mode = deployment.rng.choice(("busy", "silent"))
    deployment.record_fault(f"the store is {mode} for {length:.1f} s")
    deployment.history.record_disturbance(
        mode, None, length + bounds.RECOVERY_SECONDS
    )
    deployment.case.set_store_mode(mode)

    def restore():
        time.sleep(length)
        deployment.case.set_store_mode("ok")
        deployment.release("store")

    return deployment.run_in_thread(restore)
