"""Keeping a request that crashes endpoints from reaching a third.

Shared by model work and service calls: both probe an endpoint that broke
off, mark the work if it went down, and tell the other entries first.
"""

import typing

import anyio

from clementinewall import _http
from clementinewall import clock
from clementinewall.endpoints import reports
from clementinewall import errors
from clementinewall import logs
from clementinewall import verdicts

_log = logs.PartLog("crash")

PROBE_TIMEOUT_MS = 500
PROBE_INTERVAL_MS = 100
MAX_PROBES = 4
ANNOUNCE_TIMEOUT_MS = 1_000
PROPAGATION_MS = 200


class Work(typing.NamedTuple):
    """Work as marks know it, and what its order of endpoints comes from.

    ``kind`` and ``name`` say what serves it, ``text`` is the prompt, or the
    digest of a call.
    """

    digest: str
    kind: str
    name: str
    text: str


class CrashGuard:
    """Checks and marks work by its digest."""

    def __init__(self, node, loads):
        """Use the node's table of marks and the loads' reports."""
        self._node = node
        self._loads = loads
        self._http = _http.client(PROBE_TIMEOUT_MS)

    def check(self, digest, verdict):
        """Refuse work that crashed two endpoints.

        :raises HarmfulRequest: with ``verdict``.
        """
        if self._node.crashes.is_harmful(digest):
            raise errors.HarmfulRequest(
                "this request crashed two endpoints", verdict
            )

    def remaining_endpoint(self, work, failed, verdict):
        """Return the one endpoint that may still try suspect work.

        ``None`` means that the work is not suspect.  The endpoint is the
        first of the order in which equal work finds endpoints anyway, but
        for those that it crashed.  Copies that all entries send at once
        begin at one of the first two of that order.  Each copy that goes
        on then meets the other one of the two.  In any other order copies
        that know of different crashes crash a third and a fourth endpoint.

        :raises NoEndpoint: there is none, or it failed already.
        """
        crashed = self._node.crashes.endpoints(work.digest)
        if not crashed:
            return None
        order = self._loads.preference_order(work.kind, work.name, work.text)
        remaining = [name for name in order if name not in crashed]
        if not remaining or remaining[0] in failed:
            raise errors.NoEndpoint(
                "no endpoint remains to try this request", verdict
            )
        return remaining[0]

    async def record_failure(self, digest, request_id, name, strong):
        """Mark the work if its endpoint is gone, and tell the peers."""
        if await self._is_running(name):
            return
        if self._node.crashes.add(digest, name, strong=strong):
            _log.warning(
                "an endpoint went down under this request",
                request=request_id,
                endpoint=name,
                digest=digest,
            )
        # Without telling first, the caller's copy at another entry would
        # find an endpoint before the mark does.
        with anyio.move_on_after(clock.seconds(ANNOUNCE_TIMEOUT_MS)):
            await self._node.gossip.announce()
        await anyio.sleep(clock.seconds(PROPAGATION_MS))

    async def _is_running(self, name):
        """Tell whether the endpoint still runs, as the same process.

        A process that is just dying may still accept the probe and then
        break it off, which proves nothing: it is probed again.
        """
        for _ in range(MAX_PROBES):
            answer = await self._probe(name)
            if answer is not None:
                return answer
            await anyio.sleep(clock.seconds(PROBE_INTERVAL_MS))
        return True

    async def _probe(self, name):
        """Return whether the endpoint runs, ``None`` if that is unclear."""
        endpoint = self._loads.endpoint(name)
        if endpoint is None:
            return True
        before = self._loads.report(name)
        try:
            report = await reports.fetch(self._http, name, endpoint.address)
        except errors.EndpointFailed as exc:
            return False if exc.verdict is verdicts.Verdict.NOT_RUN else None
        return before is None or before.boot == report.boot
