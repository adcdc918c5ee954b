"""How long the work of one engine takes, against the prediction.

Engines of one service may differ for good, and the pace of each one changes
many times a second.  The long-term time is learned from observed prefills and
first events: like the scale of a service (:mod:`policy.prefill_scale`) it is
the ratio to the times of :mod:`policy.engine_time`, and an engine without
samples has that scale.  The momentary pace is what the engine reports with an
answer.  Its weight falls with its age, since it soon says nothing any more.
"""

import math
import typing

# Shorter predictions say little: they consist mostly of constant overhead.
MIN_PREDICTED_MS = 20.0
# Step per sample: one divided by the number of samples, so that the first ones
# find the ratio, but never less than this, so that it follows changes.
LAST_STEP = 0.08
# Weight of samples above the estimate.  Many include queueing that the gateway
# doesn't see, while few are shorter than the engine's own time.
ABOVE_WEIGHT = 0.35
# Distance from the estimate, as a logarithm, that a sample counts with at the
# most once there are a few of them.
MAX_DEVIATION = 0.5
FEW_SAMPLES = 3
MAX_LOG_TIME = math.log(8.0)
# Weight of the service's scale, in samples of the engine.
PRIOR_WEIGHT = 1.0
MAX_WEIGHT = 20.0
# Bounds of an engine's time relative to the service's scale.
MIN_RELATIVE_TIME = 0.25
MAX_RELATIVE_TIME = 4.0
# A figure for the pace has no weight at this age; before, it falls linearly.
PACE_LIFETIME_MS = 300.0
# Bounds of the pace relative to the engine's usual pace.
MIN_PACE = 0.4
MAX_PACE = 5.0
# The usual pace is the mean of the logarithms.  It is near 0 where "usual"
# means the usual time of the engine itself, and the engine's long-term time
# where it means that of all.  Spells of a slow pace hardly change it.
USUAL_PACE_STEP = 0.02
USUAL_PACE_PRIOR = 2.0
MAX_USUAL_DEVIATION = 0.25
# Peers' estimates that weren't repeated for so long are dropped.
PEER_LIFETIME_MS = 10_000
MAX_PEERS = 16
# The sums over all estimates are kept for so long, since each placement needs
# those of all engines.
SUMS_LIFETIME_MS = 500


class Estimate(typing.NamedTuple):
    """The logarithm of an engine's time ratio, and its weight in samples."""

    log_time: float
    weight: float


class Pace(typing.NamedTuple):
    """The pace that an engine reported, and when that was received."""

    pace: float
    at: float


class _Sums(typing.NamedTuple):
    log_time: float
    weight: float
    until: float


class EngineSpeed:
    """What one gateway knows of the speed of one incarnation of an engine."""

    def __init__(self):
        """Begin with no sample."""
        self._log_time = 0.0
        self._samples = 0
        self._latest = None
        self._log_usual = 0.0
        self._paces = 0
        self._peer_estimate_by_ip = {}
        self._sums = None

    @property
    def latest(self):
        """Return the newest known :class:`Pace`, or ``None``."""
        return self._latest

    @property
    def estimate(self):
        """Return what is announced to other gateways."""
        return Estimate(self._log_time, min(MAX_WEIGHT, float(self._samples)))

    def record_pace(self, pace, at):
        """Record a pace that the engine reported at ``at``."""
        if self._latest is not None and at <= self._latest.at:
            return
        self._latest = Pace(pace, at)
        self._paces += 1
        step = max(USUAL_PACE_STEP, 1 / (self._paces + USUAL_PACE_PRIOR))
        distance = math.log(pace) - self._log_usual
        self._log_usual += step * _clipped(distance, MAX_USUAL_DEVIATION)

    def record(self, seen_ms, predicted_ms, now):
        """Record work that didn't have to wait at the engine.

        ``predicted_ms`` is what :mod:`engine_time` says, without a scale.
        """
        if predicted_ms < MIN_PREDICTED_MS:
            return
        self._sums = None
        usual_ms = max(1.0, seen_ms) / self.pace(now)
        distance = math.log(usual_ms / predicted_ms) - self._log_time
        self._samples += 1
        if self._samples > 1:
            if self._samples > FEW_SAMPLES:
                distance = _clipped(distance, MAX_DEVIATION)
            if distance > 0:
                distance *= ABOVE_WEIGHT
        step = max(LAST_STEP, 1 / self._samples)
        self._log_time = _clipped(
            self._log_time + step * distance, MAX_LOG_TIME
        )

    def record_peer(self, ip, estimate, now):
        """Record the estimate of another gateway, replacing its last one."""
        known = self._peer_estimate_by_ip
        if len(known) >= MAX_PEERS and ip not in known:
            del known[min(known, key=lambda each: known[each][1])]
        known[ip] = estimate, now
        self._sums = None

    def relative_time(self, scale, now):
        """Return the long-term time relative to the service's ``scale``.

        It is 1 without a sample of any gateway.
        """
        if self._sums is None or now >= self._sums.until:
            self._sums = self._summed(now)
        # With distances from the scale, the prior needs no term of its own.
        total = self._sums.log_time - self._sums.weight * math.log(scale)
        found = math.exp(total / (self._sums.weight + PRIOR_WEIGHT))
        return min(MAX_RELATIVE_TIME, max(MIN_RELATIVE_TIME, found))

    def _summed(self, now):
        estimates = [self.estimate] + [
            estimate
            for estimate, at in self._peer_estimate_by_ip.values()
            if now - at <= PEER_LIFETIME_MS
        ]
        return _Sums(
            sum(each.weight * each.log_time for each in estimates),
            sum(each.weight for each in estimates),
            now + SUMS_LIFETIME_MS,
        )

    def pace(self, now):
        """Return the momentary pace relative to the engine's usual one."""
        if self._latest is None:
            return 1.0
        age_ms = max(0.0, now - self._latest.at)
        weight = 1.0 - age_ms / PACE_LIFETIME_MS
        if weight <= 0.0:
            return 1.0
        distance = math.log(self._latest.pace) - self._log_usual
        found = math.exp(weight * distance)
        return min(MAX_PACE, max(MIN_PACE, found))


def _clipped(value, limit):
    return max(-limit, min(limit, value))
