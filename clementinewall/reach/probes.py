"""Finds out when endpoints can be reached in a better way again.

A gateway that is cut off is mostly cut off from many endpoints at once.  If it
probed each of them by itself, a data centre that is cut off would keep its
processors, its peers and all endpoints busy.  So few are probed at a time, in
turn, and all of them once one of them is reached in a better way.
"""

import collections

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import logs

_log = logs.PartLog("path")

# One endpoint is probed at this interval, and several as often each, as long
# as no more than ``MAX_PER_INTERVAL`` probes begin in it.
INTERVAL_MS = 500
MAX_PER_INTERVAL = 4
# Probes at a time once one of them has found a better way.
MAX_AT_ONCE = 8


class Probes:
    """Probes endpoints that are not reached directly, in turn."""

    def __init__(self, start, search_interval_ms, now):
        """Probe nothing until :meth:`add`.

        ``start(function)`` runs a coroutine function in the background,
        ``search_interval_ms()`` returns how long to wait between searches for
        a gateway that reaches an endpoint, and ``now`` returns milliseconds.
        """
        self._start = start
        self._search_interval_ms = search_interval_ms
        self._now = now
        self._searched_at = now()
        self._waiting = collections.deque()
        self._probed = set()
        self._is_running = False
        self._is_sweeping = False

    def add(self, path):
        """Probe ``path``, an ``EndpointPath``, until it is direct."""
        if path not in self._waiting and path not in self._probed:
            self._waiting.append(path)
        if not self._is_running:
            self._is_running = True
            self._start(self._run)

    @property
    def is_idle(self):
        """Tell whether no endpoint is probed any more."""
        return not self._is_running

    async def _run(self):
        try:
            while self._waiting or self._probed:
                share = min(MAX_PER_INTERVAL, max(1, len(self._waiting)))
                await anyio.sleep(clock.seconds(INTERVAL_MS / share))
                if self._waiting:
                    self._start_probe(self._waiting.popleft())
        finally:
            self._is_running = False

    def _start_probe(self, path):
        if path.is_direct:
            return

        async def probe():
            if await self._probe(path) and not self._is_sweeping:
                await self._sweep()

        self._start(probe)

    async def _probe(self, path):
        """Probe one endpoint; return whether it is reached in a better way."""
        self._probed.add(path)
        is_better = False
        try:
            with containment.contained(_log, "a probe"):
                may_search = path.needs_search and self._may_search()
                is_better = await path.probe(may_search)
        finally:
            self._probed.discard(path)
            if not path.is_direct:
                self.add(path)
        return is_better

    def _may_search(self):
        if self._now() - self._searched_at < self._search_interval_ms():
            return False
        self._searched_at = self._now()
        return True

    async def _sweep(self):
        """Probe all others: what cut them off has probably ended, too."""
        self._is_sweeping = True
        limiter = anyio.Semaphore(MAX_AT_ONCE)

        async def probe(path):
            async with limiter:
                await self._probe(path)

        try:
            waiting = [path for path in self._waiting if not path.is_direct]
            self._waiting.clear()
            async with anyio.create_task_group() as group:
                for path in waiting:
                    # A probe that waits for its turn counts as one that runs.
                    self._probed.add(path)
                    group.start_soon(probe, path)
        finally:
            self._is_sweeping = False
