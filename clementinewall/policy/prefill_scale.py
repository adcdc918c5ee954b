"""How many times as long as predicted engines take to read, as it is seen.

:mod:`clementinewall.policy.engine_time` has the figures of one model on one
accelerator.  Others read at another speed, and a gateway that doesn't know it
sends prompts to engines that are still busy.  The factor between is followed
by a low quantile, since many prompts have to wait unseen and few are read
sooner than their engine can; how far off those are doesn't matter then.
Gateways add up what they learned, so that a new one knows it at once.
"""

import math
import typing

# Prompts predicted shorter than this say little: they are mostly constants.
MIN_PREDICTED_MS = 20.0
# Each sample moves the logarithm by this part of its number, so that the first
# ones find the scale; later ones keep moving it, since engines are replaced.
FIRST_STEP = 1.0
LAST_STEP = 0.06
QUANTILE = 0.25
MAX_LOG_SCALE = math.log(8.0)
# What the prediction itself counts against what was seen.
PRIOR_WEIGHT = 1.0
MAX_WEIGHT = 30.0


class Estimate(typing.NamedTuple):
    """The logarithm of a scale, and how many samples it rests on."""

    log_scale: float
    weight: float


class PrefillScale:
    """The estimate of one gateway for the engines of one service."""

    def __init__(self):
        """Begin with no sample."""
        self._log = 0.0
        self._samples = 0

    def record(self, seen_ms, predicted_ms):
        """Take in how long a prompt was read that didn't have to wait.

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
        """Return what is to be told to others."""
        return Estimate(self._log, min(MAX_WEIGHT, float(self._samples)))


def combined(estimates):
    """Return the scale by the estimates of all gateways."""
    weight = PRIOR_WEIGHT + sum(each.weight for each in estimates)
    total = sum(each.weight * each.log_scale for each in estimates)
    return math.exp(total / weight)


class PrefillScales:
    """What one gateway learned of the engines of each service."""

    def __init__(self):
        """Begin with no sample."""
        self._scale_by_service = {}

    def record(self, service, seen_ms, predicted_ms):
        """Take in a prompt as :meth:`PrefillScale.record` does."""
        scale = self._scale_by_service.setdefault(service, PrefillScale())
        scale.record(seen_ms, predicted_ms)

    def estimate_by_service(self):
        """Return what is to be told to others."""
        return {
            name: scale.estimate
            for name, scale in self._scale_by_service.items()
        }

    def scale(self, service, told):
        """Return the scale of a service.

        ``told`` are the estimates by service of the other gateways.
        """
        known = [*told, self.estimate_by_service()]
        return combined([each[service] for each in known if service in each])
