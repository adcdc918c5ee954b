"""Gateways that start together at a store that refuses most calls."""

import collections
import heapq
import itertools
import random
import unittest

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import fleet_view
from clementinewall.gateway import topic_followers
from clementinewall.platform import records
from clementinewall.policy import store_polling
from tests.gateway import test_topic_followers

GATEWAYS = 6
CALLS_PER_SECOND = 4
PLAYS = 200
START_SPREAD_MS = 1_000
# The deployment's bound for serving again, without the start of a process.
SERVE_MS = 10_000
BOUNDS = domain.Bounds()
NEEDED = (records.CONFIGURATION_TOPIC, records.ENDPOINTS_TOPIC)


def cycle_by_topic(bounds=BOUNDS):
    """Return how each topic is polled."""
    settings = test_topic_followers.SETTINGS._replace(bounds=bounds)
    now = clock.ManualClock().now
    view = fleet_view.FleetView(now)
    followers = (
        topic_followers.configuration_follower(settings, now, view),
        topic_followers.fleet_follower(settings, now, view),
        topic_followers.peers_follower(settings, now, lambda _record: True),
    )
    return {found._topic: found._cycle for found in followers}


class _Start:
    """One play of a start, by the rules of the gateways."""

    def __init__(self, seed):
        random.seed(seed)
        self._cycles = cycle_by_topic()
        self._taken = collections.deque()
        self._known = collections.defaultdict(set)
        self._synced = {}
        self._order = itertools.count()
        self._calls = []
        self._begun_at = [
            random.uniform(0, START_SPREAD_MS) for _ in range(GATEWAYS)
        ]
        for number, at in enumerate(self._begun_at):
            for topic in self._cycles:
                self._schedule(at, number, topic)

    def _schedule(self, at, number, topic):
        heapq.heappush(self._calls, (at, next(self._order), number, topic))

    def _is_ready(self, number):
        return self._known[number].issuperset(NEEDED)

    def _rank(self, number):
        return sum(self._is_ready(other) for other in range(number))

    def _is_answered(self, now):
        while self._taken and self._taken[0] <= now - 1_000:
            self._taken.popleft()
        if len(self._taken) >= CALLS_PER_SECOND:
            return False
        self._taken.append(now)
        return True

    def _due_at(self, number, topic):
        age_ms = store_polling.max_age_ms(
            self._cycles[topic], self._rank(number)
        )
        return self._synced[number, topic] + age_ms

    def play(self):
        """Return when the last gateway serves, in ms."""
        while True:
            now, _, number, topic = heapq.heappop(self._calls)
            is_known = topic in self._known[number]
            if is_known and self._due_at(number, topic) > now + 1:
                self._schedule(self._due_at(number, topic), number, topic)
                continue
            if not self._is_answered(now):
                retry_ms = store_polling.first_read_retry_ms()
                if is_known:
                    retry_ms = store_polling.retry_ms(
                        self._cycles[topic],
                        self._rank(number),
                        now - self._begun_at[number],
                    )
                self._schedule(now + retry_ms, number, topic)
                continue
            self._known[number].add(topic)
            for other in range(GATEWAYS):
                if topic in self._known[other]:
                    self._synced[other, topic] = now
            if all(map(self._is_ready, range(GATEWAYS))):
                return now
            self._schedule(self._due_at(number, topic), number, topic)


class Start(unittest.TestCase):
    """All gateways start at once."""

    def test_all_serve_in_time_while_most_calls_are_refused(self):
        # Guards against ready gateways whose retries take most answers.
        ends = sorted(_Start(seed).play() for seed in range(PLAYS))
        self.assertLess(ends[-1], SERVE_MS)

    def test_a_retry_comes_within_the_bounds_also_after_a_start(self):
        # Guards against changes that a gateway learns of too late.
        for bounds in (BOUNDS, BOUNDS._replace(configuration_ms=8_000)):
            cycles = cycle_by_topic(bounds)
            for topic, bound_ms in (
                (records.CONFIGURATION_TOPIC, bounds.configuration_ms),
                (records.ENDPOINTS_TOPIC, bounds.draining_ms),
            ):
                found = store_polling.retry_ms(cycles[topic], 0, 0)
                self.assertLess(found, bound_ms)

    def test_gateways_that_have_run_for_long_retry_by_their_rank(self):
        # Guards against an outage whose end is seen late.
        cycle = cycle_by_topic()[records.ENDPOINTS_TOPIC]
        age_ms = store_polling.START_MS
        self.assertEqual(
            store_polling.retry_ms(cycle, 0, age_ms), store_polling.RETRY_MS
        )
