"""The duty service of a run: it fails for some time, and flags violations."""

import time

import httpx

from standins import bringup

KEY_BY_CUSTOMER = {"anna": "key-of-anna", "bert": "key-of-bert"}
TENANTS = [
    {"name": name, "api_keys": [key]} for name, key in KEY_BY_CUSTOMER.items()
]
WINDOW_SECONDS = 2
MODES = ("slow", "busy", "down", "silent", "garbled")
LENGTH_SECONDS = (1.0, 5.0)
NAME = "duties"


def start(case):
    """Start the service, and let customers and gateways of a case use it."""
    address = case.dep.standin(NAME, "duties")
    bringup.wait_until(lambda: ask(case, "violations") == [], what=NAME)
    case.tenants = TENANTS
    case.cloud = {"address": address, "duties": ["usage_report"]}


def ask(case, path, **body):
    """Ask the service something, or tell it something; ``None`` if down."""
    where = f"http://{case.dep.address_by_name[NAME]}/standin/{path}"
    try:
        if body:
            return httpx.post(where, json=body, trust_env=False).json()
        return httpx.get(where, trust_env=False).json()
    except httpx.TransportError:
        return None


def disturb(deployment, rng):
    """Let the service fail in one of its ways."""
    mode, length = rng.choice(MODES), rng.uniform(*LENGTH_SECONDS)
    if not deployment.reserve(NAME):
        return None
    deployment.record_fault(f"the duty service is {mode} for {length:.1f} s")
    ask(deployment.case, "mode", mode=mode)

    def restore():
        time.sleep(length)
        ask(deployment.case, "mode", mode="ok")
        deployment.release(NAME)

    return deployment.run_in_thread(restore)


def find_violations(case):
    """Return a sentence for each violation, or if nothing was reported."""
    found = [
        f"duty service: {row['why']}: {row}" for row in ask(case, "violations")
    ]
    if not any(call["body"]["counts"] for call in ask(case, "calls")):
        found.append("duty service: no request was reported")
    return found
