"""Unplanned trouble: pauses, kills, crashes, connections and the store."""

import time

import httpx

from bench.soak import bounds

PROXY_MODES = ("blackhole", "to_target", "to_client", "refuse", "slow", "cut")


def pause(deployment, length):
    """Pause a gateway."""
    name = deployment.reserve_gateway()
    if name is None:
        return None
    deployment.note(f"{name} is paused for {length:.1f} s")
    deployment.ledger.trouble("pause", name, length + bounds.CALM_SECONDS)
    deployment.case.dep.pause(name)

    def resume():
        time.sleep(length)
        deployment.case.dep.resume(name)
        deployment.release(name)

    return deployment.later(resume)


def kill(deployment, length):
    """Kill a gateway and start it again."""
    name = deployment.reserve_gateway()
    if name is None:
        return None
    deployment.note(f"{name} is killed for {length:.1f} s")
    deployment.ledger.trouble("kill", name, length + 2 * bounds.CALM_SECONDS)
    deployment.case.dep.kill(name)
    return deployment.later(deployment.restart, name, length)


def crash(deployment, length):
    """Let an endpoint crash, and bring another one."""
    name = deployment.reserve_endpoint()
    if name is None:
        return None
    old = deployment.backend_by_name[name]
    deployment.note(f"{name} crashes")
    deployment.ledger.trouble("crash", name, float("inf"))
    old.end(crash=True)

    def replace():
        time.sleep(length)
        deployment.put(old.name, None)
        deployment.replace_endpoint(name, old)

    return deployment.later(replace)


def disturb_proxy(deployment, length):
    """Let something go wrong with the connections through a proxy."""
    name, served = deployment.draw.choice(deployment.proxies)
    mode = deployment.draw.choice(PROXY_MODES)
    if not deployment.reserve(name):
        return None
    deployment.note(f"{name} is {mode} for {length:.1f} s")
    deployment.ledger.trouble(mode, served, length + bounds.CALM_SECONDS)
    _set_proxy(deployment, name, mode)

    def mend():
        time.sleep(length)
        _set_proxy(deployment, name, "ok")
        deployment.release(name)

    return deployment.later(mend)


def _set_proxy(deployment, name, mode):
    control = deployment.case.dep.address_by_name[f"{name}-control"]
    httpx.post(
        f"http://{control}/faults",
        json={"mode": mode, "after": 200, "delay_ms": 60},
        timeout=10,
        trust_env=False,
    )


def disturb_store(deployment, length):
    """Let the store refuse or say nothing."""
    if not deployment.reserve("store"):
        return None
    mode = deployment.draw.choice(("busy", "silent"))
    deployment.note(f"the store is {mode} for {length:.1f} s")
    deployment.ledger.trouble(mode, None, length + bounds.CALM_SECONDS)
    deployment.case.set_store_mode(mode)

    def mend():
        time.sleep(length)
        deployment.case.set_store_mode("ok")
        deployment.release("store")

    return deployment.later(mend)
