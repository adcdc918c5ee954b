"""Estimate of the ratio of actual to predicted prefill times.

:mod:`clementinewall.policy.engine_time` has the figures of one model on one
accelerator.  Others prefill at another speed, and a gateway that doesn't know
it sends prompts to engines that are still busy.  The ratio is estimated by a
low quantile: many samples include queueing that the gateway can't see, few are
shorter than the engine's prefill, and a quantile ignores how far outliers are
off.  Gateways combine their estimates, so that a new one has it at once.
"""

import math
import typing

# Shorter predictions say little: they consist mostly of constant overhead.
MIN_PREDICTED_MS = 20.0
# Step of the logarithm per sample: the first step divided by the number of
# samples, so that the first ones find the scale, but never less than the last
# step, since engines are replaced.
FIRST_STEP = 1.0
LAST_STEP = 0.06
QUANTILE = 0.25
MAX_LOG_SCALE = math.log(8.0)
# Weight of the prediction itself (a scale of 1), in samples.
PRIOR_WEIGHT = 1.0
MAX_WEIGHT = 30.0


class Estimate(typing.NamedTuple):
    """The logarithm of a scale, and its weight in samples."""

    log_scale: float
    weight: float


class PrefillScale:
    """The estimate of one gateway for the engines of one service."""

    def __init__(self):
        """Begin with no sample."""
        self._log = 0.0
        self._samples = 0

    def record(self, seen_ms, predicted_ms):
        """Record the prefill time of a prompt that didn't have to wait.

        ``predicted_ms`` is what :mod:`engine_time` says, without a scale.
        """
        if predicted_ms < MIN_PREDICTED_MS:
            return
        self._samples += 1
        step = max(LAST_STEP, FIRST_STEP / self._samples)
        is_above = seen_ms > predicted_ms * math.exp(self._log)
        self._log += step * (QUANTILE if is_above else QUANTILE - 1)
        self._log = max(-MAX_LOG_SCALE, min(MAX_LOG_SCALE, self._log))

    @property
    def estimate(self):
        """Return what is announced to other gateways."""
        return Estimate(self._log, min(MAX_WEIGHT, float(self._samples)))


def combined(estimates):
    """Return the scale by the weighted estimates of all gateways."""
    weight = PRIOR_WEIGHT + sum(each.weight for each in estimates)
    total = sum(each.weight * each.log_scale for each in estimates)
    return math.exp(total / weight)


class PrefillScales:
    """The estimates of one gateway for the engines of each service."""

    def __init__(self):
        """Begin with no sample."""
        self._scale_by_service = {}

    def record(self, service, seen_ms, predicted_ms):
        """Record a prompt as :meth:`PrefillScale.record` does."""
        scale = self._scale_by_service.setdefault(service, PrefillScale())
        scale.record(seen_ms, predicted_ms)

    def estimate_by_service(self):
        """Return what is announced to other gateways."""
        return {
            name: scale.estimate
            for name, scale in self._scale_by_service.items()
        }

    def scale(self, service, peer_estimates):
        """Return the scale of a service.

        ``peer_estimates`` are the estimates by service of each other gateway.
        """
        known = [*peer_estimates, self.estimate_by_service()]
        return combined([each[service] for each in known if service in each])
