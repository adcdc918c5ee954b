"""The load of scaled services, as all gateways tell the candidates."""

import collections
import typing

from clementinewall import clock
from clementinewall.policy import fleet_size

SAMPLE_INTERVAL_MS = 900
# An older sample says nothing of the load now.
MAX_AGE_MS = 3_000
MAX_VALUE = 1e9
# Loads that are kept: some more than a fall has to last.
KEEP_MS = 21_000


class _Totals(typing.NamedTuple):
    """What a gateway has sent to a service since its start, and has open."""

    prompt_ms: float
    streams: int


class Sampler:
    """Measures the work of this gateway; a source of :class:`Collection`."""

    def __init__(self, endpoints, services, now):
        """Measure at ``endpoints``.

        ``services()`` returns the names of the scaled services.
        """
        self._endpoints = endpoints
        self._services = services
        self._now = now
        self._sampled_at = None
        self._totals_by_service = {}
        self._rows = []

    def messages(self, _ip):
        """Return the latest sample, as plain data."""
        now = self._now()
        if (
            self._sampled_at is None
            or now - self._sampled_at >= SAMPLE_INTERVAL_MS
        ):
            self._sample(now)
        return [self._rows] if self._rows else []

    def confirm(self, ip, data):
        """Take no reply; samples aren't confirmed."""

    def _sample(self, now):
        rows = []
        for name in self._services():
            before = self._totals_by_service.get(name)
            totals = _Totals(
                self._endpoints.prompt_ms(name), self._endpoints.streams(name)
            )
            self._totals_by_service[name] = totals
            if before is None:
                continue
            passed_ms = max(1, now - self._sampled_at)
            prompt_ms = max(0.0, totals.prompt_ms - before.prompt_ms)
            rows.append(
                [name, round(prompt_ms * 1_000 / passed_ms), totals.streams]
            )
        self._rows = rows
        self._sampled_at = now


class _Sample(typing.NamedTuple):
    at: clock.Millis
    prompt_ms: float
    streams: float


class LoadBoard:
    """Adds up the samples of all gateways; a sink of :class:`Collection`."""

    def __init__(self, now):
        """Start without samples."""
        self._now = now
        self._sample_by_ip_by_service = collections.defaultdict(dict)
        self._loads_by_service = collections.defaultdict(collections.deque)

    def take(self, ip, data):
        """Take in the sample of a gateway; reply nothing.

        :raises TypeError, ValueError: if malformed.
        """
        checked = []
        for name, prompt_ms, streams in data:
            for number in (prompt_ms, streams):
                if not 0 <= number < MAX_VALUE:
                    raise ValueError(f"load of {name!r}: {number!r}")
            checked.append((str(name), prompt_ms, streams))
        now = self._now()
        for name, prompt_ms, streams in checked:
            sample = _Sample(now, prompt_ms, streams)
            self._sample_by_ip_by_service[name][ip] = sample

    def heard(self, service):
        """Return how many gateways sent a sample lately."""
        return len(self._recent(service))

    def record(self, service, live):
        """Record the load now, for ``live`` gateways in all."""
        recent = self._recent(service)
        loads = self._loads_by_service[service]
        now = self._now()
        while loads and now - loads[0].at > KEEP_MS:
            loads.popleft()
        if not recent:
            return
        scale = max(1.0, live / len(recent))
        loads.append(
            fleet_size.Load(
                now,
                scale * sum(sample.prompt_ms for sample in recent),
                scale * sum(sample.streams for sample in recent),
            )
        )

    def loads(self, service):
        """Return the recorded loads of a service, oldest first."""
        return list(self._loads_by_service[service])

    def _recent(self, service):
        since = self._now() - MAX_AGE_MS
        by_ip = self._sample_by_ip_by_service[service]
        for ip in [ip for ip, sample in by_ip.items() if sample.at < since]:
            del by_ip[ip]
        return list(by_ip.values())
