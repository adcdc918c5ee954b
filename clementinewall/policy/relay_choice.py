"""Which gateways to ask for a tunnel to an endpoint, as pure state."""

import math
import typing

from clementinewall import clock

# So many gateways are asked for one connection.
MAX_ASKED = 8
# Of those that may be cut off themselves, so many may stand in the own data
# centre: what cuts it off mostly cuts all of it off.
MAX_NEAR = 4
# Who was asked within this time, and has not connected, is asked again last.
ASKED_LATELY_MS = 10_000
# What a gateway said of one endpoint counts for this time.
ANSWER_LIFETIME_MS = 2_000
# A gateway that opened a tunnel is asked first for others for this time.
CONNECTS_LIFETIME_MS = 10_000
# So many failures in a row show that a gateway is cut off itself; one may be
# the fault of the endpoint.
FAILURES_TO_DOUBT = 2
# Gateways that connect, of which others are told.
MAX_TOLD = 8


class Candidate(typing.NamedTuple):
    """A gateway that may be asked.

    ``has_failed`` tells that it lately could not connect to the endpoint, and
    ``is_proven`` that it could; ``connects`` that it lately connected to any
    endpoint.  It was not asked for ``asked_ms``, infinite if never.
    """

    ip: str
    data_centre: str
    has_failed: bool = False
    is_proven: bool = False
    connects: bool = False
    asked_ms: float = math.inf


def order(candidates, data_centre, rng):
    """Return the addresses of the gateways to ask, the best first.

    Those that reach this endpoint or others come first, of them the gateways
    of the own ``data_centre``, since bytes between data centres are charged.
    Then come those that were not asked lately, so that the searches for
    several endpoints, and one after the other, ask all gateways before any
    twice, and last those that failed.  Those that are equally good are drawn
    by ``rng``, so that no gateway carries the tunnels of all others.
    """
    drawn = rng.sample(candidates, len(candidates))
    reaching = [c for c in drawn if _reaches(c)]
    reaching.sort(
        key=lambda each: (not each.is_proven, each.data_centre != data_centre)
    )
    others = [c for c in drawn if not _reaches(c)]
    ordered = reaching
    for group in (
        [c for c in others if not c.has_failed and not _is_asked_lately(c)],
        [c for c in others if not c.has_failed and _is_asked_lately(c)],
        [c for c in others if c.has_failed],
    ):
        ordered += _spread(group, data_centre)
    return [each.ip for each in ordered[:MAX_ASKED]]


def _reaches(candidate):
    return not candidate.has_failed and (
        candidate.is_proven or candidate.connects
    )


def _is_asked_lately(candidate):
    return candidate.asked_ms < ASKED_LATELY_MS


def _spread(candidates, data_centre):
    """Return a few of the own data centre, then as many of others, ..."""
    ordered = sorted(candidates, key=lambda each: -each.asked_ms)
    near = [each for each in ordered if each.data_centre == data_centre]
    far = [each for each in ordered if each.data_centre != data_centre]
    far_first = far[: MAX_ASKED - MAX_NEAR]
    return [
        *near[:MAX_NEAR],
        *far_first,
        *near[MAX_NEAR:],
        *far[len(far_first) :],
    ]


class _Standing(typing.NamedTuple):
    """How a gateway answered lately, whichever endpoint it was asked for."""

    asked_at: clock.Millis | None = None
    connected_at: clock.Millis | None = None
    failed_at: clock.Millis | None = None
    failures: int = 0


class RelayMemory:
    """The answers of gateways, by endpoint and as a whole.

    A gateway that is cut off from one endpoint is probably cut off from
    others, so that what it says of one counts for the choice for all.
    """

    def __init__(self, now):
        """Know nothing; ``now`` returns milliseconds."""
        self._now = now
        # Pairs of whether a gateway reached an endpoint and when it said so.
        self._answer_by_address_and_ip = {}
        self._standing_by_ip = {}

    def record_asked(self, ip):
        """Record that a gateway is being asked."""
        self._update(ip, asked_at=self._now())

    def record_answer(self, address, ip, is_reached):
        """Record whether the gateway at ``ip`` reached an endpoint."""
        now = self._now()
        self._answer_by_address_and_ip[address, ip] = is_reached, now
        if is_reached:
            self._update(ip, connected_at=now, failures=0)
        else:
            failures = self._standing(ip).failures + 1
            self._update(ip, failed_at=now, failures=failures)

    def record_told(self, ip, age_ms):
        """Record that a gateway connected ``age_ms`` ago, as another told."""
        known = self._standing(ip)
        at = self._now() - age_ms
        if known.connected_at is not None and known.connected_at >= at:
            return
        self._update(ip, connected_at=at)
        if known.failed_at is not None and known.failed_at < at:
            self._update(ip, failures=0)

    def rows_to_tell(self):
        """Return pairs of who connects and how many ms ago, the newest."""
        now = self._now()
        rows = [
            (now - known.connected_at, ip)
            for ip, known in self._standing_by_ip.items()
            if self.connects(ip)
        ]
        return [(ip, age_ms) for age_ms, ip in sorted(rows)[:MAX_TOLD]]

    def _standing(self, ip):
        return self._standing_by_ip.get(ip, _Standing())

    def _update(self, ip, **fields):
        self._standing_by_ip[ip] = self._standing(ip)._replace(**fields)

    def has_answered(self, address, ip, is_reached):
        """Tell whether a gateway said this of an endpoint lately."""
        said, at = self._answer_by_address_and_ip.get((address, ip), (None, 0))
        return said is is_reached and self._now() - at < ANSWER_LIFETIME_MS

    def connects(self, ip):
        """Tell whether a gateway has lately opened a tunnel, to wherever."""
        known = self._standing(ip)
        return (
            known.connected_at is not None
            and known.failures < FAILURES_TO_DOUBT
            and self._now() - known.connected_at < CONNECTS_LIFETIME_MS
        )

    def asked_ms(self, ip):
        """Return for how many ms a gateway wasn't asked, infinite if never."""
        asked_at = self._standing(ip).asked_at
        return math.inf if asked_at is None else self._now() - asked_at

    def sweep(self, ips):
        """Forget what gateways said long ago, and those not in ``ips``."""
        since = self._now() - ANSWER_LIFETIME_MS
        for key, (_, at) in list(self._answer_by_address_and_ip.items()):
            if at <= since:
                del self._answer_by_address_and_ip[key]
        for ip in self._standing_by_ip.keys() - ips:
            del self._standing_by_ip[ip]
