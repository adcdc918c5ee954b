"""The loss of all gateways at once beside a store in trouble; the check."""

import time
import typing

from bench.soak import bounds
from bench.soak import history as history_module

DOWN_SECONDS = (0.2, 2.0)
IMPAIRED_SECONDS = (2.0, 9.0)
SECOND_LOSS_SECONDS = (0.5, 4.0)
SECOND_LOSS_SHARE = 0.4
ENGINE_LOSS_SHARE = 0.4
CALLS_PER_GATEWAY = 5
# What is wrong with the store while the gateways start.
STORE_IMPAIRMENTS = ("ok", "late", "queue", "refuse", "busy", "silent")


class _Loss(typing.NamedTuple):
    """What happens in one loss of all; times are seconds.

    All gateways are killed ``len(down)`` times, ``gap`` after their start,
    and are down for each of ``down``.
    """

    down: tuple[float, ...]
    gap: float
    loses_engines: bool
    mode: str
    pace: dict
    impaired: float


def lose_all(deployment, rng):
    """Kill all gateways, once or twice, and start them again."""
    taken = [*deployment.gateways, "store"]
    reserved = [name for name in taken if deployment.reserve(name)]
    if reserved != taken:
        for name in reserved:
            deployment.release(name)
        return None
    loss = _draw(rng, len(deployment.gateways))
    deployment.record_fault(f"all gateways are lost: {loss}")
    excused = sum(loss.down) + loss.gap + loss.impaired
    for name in (None, *deployment.gateways):
        deployment.history.record_disturbance(
            "loss of all", name, excused + bounds.RESTART_SECONDS
        )

    def run():
        _play(deployment, loss)
        for name in taken:
            deployment.release(name)

    return deployment.run_in_thread(run)


def _draw(rng, gateways):
    mode, pace = _draw_impairment(rng, gateways)
    impaired = rng.uniform(*IMPAIRED_SECONDS)
    if mode == "ok":
        # Service has to return beside a store that answers late.
        impaired += bounds.RESTART_SECONDS + bounds.JUDGED_RESTART_SECONDS
    down = [rng.uniform(*DOWN_SECONDS)]
    if rng.random() < SECOND_LOSS_SHARE:
        down.append(rng.uniform(*DOWN_SECONDS))
    gap = rng.uniform(*SECOND_LOSS_SECONDS)
    loses_engines = rng.random() < ENGINE_LOSS_SHARE
    return _Loss(tuple(down), gap, loses_engines, mode, pace, impaired)


def _play(deployment, loss):
    deployment.case.set_store_mode(loss.mode, **loss.pace)
    _kill_all(deployment)
    lost_at = time.monotonic()
    if loss.loses_engines:
        _replace_engines(deployment)
    for number, seconds in enumerate(loss.down):
        if number:
            time.sleep(loss.gap)
            _kill_all(deployment)
        time.sleep(seconds)
        for name in deployment.gateways:
            deployment.case.dep.start(name)
    back_at = time.monotonic()
    time.sleep(max(0, lost_at + loss.impaired - back_at))
    deployment.case.set_store_mode("ok")
    end = back_at + bounds.RESTART_SECONDS + bounds.JUDGED_RESTART_SECONDS
    time.sleep(max(0, end - time.monotonic()))
    row = history_module.Restart(lost_at, back_at, time.monotonic())
    deployment.history.add(deployment.history.restarts, row)


def _draw_impairment(rng, gateways):
    """Return mode and pace of the store."""
    kind = rng.choice(STORE_IMPAIRMENTS)
    if kind == "late":
        return "ok", {"delay_ms": rng.randint(200, 2_000)}
    # The calls of a start take seconds at this rate.
    per_second = max(
        2, round(CALLS_PER_GATEWAY * gateways / rng.uniform(2, 5))
    )
    if kind == "queue":
        return "ok", {"queued_per_second": per_second}
    if kind == "refuse":
        return "ok", {"limit_per_second": per_second}
    return kind, {}


def _kill_all(deployment):
    for name in deployment.gateways:
        deployment.process(name).kill()
    for name in deployment.gateways:
        deployment.process(name).wait()


def _replace_engines(deployment):
    """Crash the engines; others with the same stage take their places."""
    for name, old in list(deployment.backend_by_name.items()):
        if old.service == "model" and deployment.reserve(name):
            deployment.history.record_disturbance("crash", name, float("inf"))
            old.end(crash=True)
            deployment.replace_endpoint(name, old)


def find_violations(history):
    """Yield a sentence for each loss after which service didn't return."""
    for restart in history.restarts:
        before = _served(
            history,
            restart.lost_at - bounds.JUDGED_RESTART_SECONDS,
            restart.lost_at - bounds.SLACK_SECONDS,
        )
        after = _served(
            history, restart.back_at + bounds.RESTART_SECONDS, restart.end
        )
        if min(len(before), len(after)) < bounds.MIN_JUDGED_REQUESTS:
            continue
        share = bounds.MIN_RESTART_SHARE
        if sum(before) >= share * len(before):
            if sum(after) < share * len(after):
                yield (
                    f"{sum(after)} of {len(after)} requests were served later"
                    f" than {bounds.RESTART_SECONDS} s after all gateways"
                    f" returned"
                )


def _served(history, start, end):
    return [
        sent.status == 200 and sent.is_correct
        for sent in history.sent
        if start <= sent.at < end and sent.kind in bounds.RESTART_KINDS
    ]
