"""Requests with a part in their prompts that crashes engines; the check.

Each engine that begins to write on the part ends with all of its streams.
"""

import secrets
import time

import httpx

from bench.soak import bounds
from bench.soak import callers
from bench.soak import history as history_module
from tests.integration import gateway_base

FIRST = "aa"
GAP_SECONDS = (0.15, 0.6)
LENGTH_SECONDS = (9.0, 12.0)
TIMEOUT_SECONDS = 4.0


def send_series(deployment, rng):
    """Send requests with one harmful part for some seconds."""
    if not deployment.reserve("harmful part"):
        return None
    part = f"bad{secrets.token_hex(3)}"
    seconds = rng.uniform(*LENGTH_SECONDS)
    deployment.record_fault(f"part {part} crashes engines for {seconds:.1f} s")
    series = history_module.PartSeries(part, [], [], [])
    deployment.history.add(deployment.history.part_series, series)

    def send():
        threads = []
        end = time.monotonic() + seconds
        while time.monotonic() < end and not deployment.stopping.is_set():
            name = rng.choice(deployment.gateways)
            threads.append(
                deployment.run_in_thread(_send_one, deployment, name, part)
            )
            time.sleep(rng.uniform(*GAP_SECONDS))
        for thread in threads:
            thread.join()
        series.ended.append(time.monotonic())
        deployment.release("harmful part")

    return deployment.run_in_thread(send)


def _send_one(deployment, gateway, part):
    attempt = secrets.token_hex(8)
    deployment.history.record_attempt(attempt)
    deployment.history.gateway_by_harmful_attempt[attempt] = gateway
    front = deployment.case.listen_by_name[gateway]["front"]
    try:
        httpx.post(
            f"http://{front}/chat/x",
            headers={
                "Host": gateway_base.HOST,
                "Attempt-Id": attempt,
                "Model": "m",
                "Token-Usage": "100,40",
                "Prompt-Prefix": f"{FIRST}:40,{part}:40,{attempt}:20",
                "Deadline-Ms": "3000",
            },
            content=attempt.encode(),
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
            verify=False,
        )
    except httpx.HTTPError:
        # The stream was cut by a crash, or the gateway is down.
        return


def find_violations(history):
    """Yield a sentence for each part that reached engines for too long."""
    for series in history.part_series:
        if not series.crashes:
            continue
        last = sorted(series.crashes)[: bounds.PART_CRASHES][-1]
        late = [
            attempt
            for attempt, at in series.arrivals
            if at > last + bounds.STABLE_SECONDS
            and _was_well(history, attempt, at)
        ]
        is_bounded = len(series.crashes) >= bounds.PART_CRASHES
        if is_bounded and len(late) > bounds.MAX_LATE_PART_ARRIVALS:
            yield (
                f"{len(late)} requests with part {series.part} reached engines"
                f" late; {len(series.crashes)} ended"
            )
        yield from _refused_sound(history, series, last)


def _was_well(history, attempt, at):
    gateway = history.gateway_by_harmful_attempt[attempt]
    start = at - bounds.RECOVERY_SECONDS
    return history.has_no_disturbance(gateway, start, at)


def _refused_sound(history, series, last):
    """Yield a sentence if sound streams began far less often than else."""
    start = last + 2 * bounds.STABLE_SECONDS
    end = max(series.ended, default=start)
    judged = _begun(history, start, end)
    others = _begun(history, 0.0, min(series.crashes) - 0.1)
    if min(len(judged), len(others)) < bounds.MIN_JUDGED_STREAMS:
        return
    share, usual = sum(judged) / len(judged), sum(others) / len(others)
    if share < bounds.MIN_SOUND_SHARE * usual:
        yield (
            f"beside part {series.part} {share:.2f} of {len(judged)} sound"
            f" streams began, {usual:.2f} before"
        )


def _begun(history, start, end):
    return [
        bool(sent.numbers)
        for sent in history.sent
        if sent.kind in callers.STREAM_KINDS
        and start <= sent.at < end
        and history.has_no_disturbance(
            sent.gateway, sent.at - bounds.RECOVERY_SECONDS, sent.ended
        )
    ]
