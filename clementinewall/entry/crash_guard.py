"""Keeps a request that crashes endpoints from reaching a third one.

Model requests and service calls both use it: after a failure they probe the
endpoint, add a crash record if it went down, and announce the record to the
other entries before they retry.
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
    """Identifies a request in crash records and orders its endpoints.

    ``kind`` and ``name`` are those of what serves it; ``text`` is the prompt
    of a model request or the digest of a call.
    """

    digest: str
    kind: str
    name: str
    text: str


class CrashGuard:
    """Checks requests against crash records and adds new ones."""

    def __init__(self, node, loads):
        """Use the crash table of ``node`` and the reports in ``loads``."""
        self._node = node
        self._loads = loads
        self._http = _http.client(PROBE_TIMEOUT_MS)

    def check(self, digest, verdict):
        """Refuse a request that crashed two endpoints.

        :raises HarmfulRequest: with ``verdict``.
        """
        if self._node.crashes.is_harmful(digest):
            raise errors.HarmfulRequest(
                "this request crashed two endpoints", verdict
            )

    def remaining_endpoint(self, work, failed, verdict):
        """Return the only endpoint that may still serve a suspect request.

        ``None`` means that the request has no crash record.  The endpoint is
        the first one in :meth:`Loads.preference_order` that the request has
        not crashed.  Copies sent through all entries at once start at one
        of the first two endpoints of that order, and each retry then goes to
        the other one.  In any other order, entries that know of different
        crashes would send copies to a third and a fourth endpoint.

        :raises NoEndpoint: there is none, or it has failed already.
        """
        crashed = self._node.crashes.endpoints(work.digest)
        if not crashed:
            return None
        order = self._loads.preference_order(work.kind, work.name, work.text)
        remaining = [name for name in order if name not in crashed]
        if not remaining or remaining[0] in failed:
            raise errors.NoEndpoint(
                "no endpoint remains that may serve this request", verdict
            )
        return remaining[0]

    async def record_failure(self, digest, request_id, name, strong):
        """Add a crash record if the endpoint is down, and announce it."""
        if await self._is_running(name):
            return
        if self._node.crashes.add(digest, name, strong=strong):
            _log.warning(
                "an endpoint went down while serving this request",
                request=request_id,
                endpoint=name,
                digest=digest,
            )
        # Announced before the retry; otherwise the caller's copy at another
        # entry could reach an endpoint before the crash record does.
        with anyio.move_on_after(clock.seconds(ANNOUNCE_TIMEOUT_MS)):
            await self._node.gossip.announce()
        await anyio.sleep(clock.seconds(PROPAGATION_MS))

    async def _is_running(self, name):
        """Return whether the endpoint still runs as the same process.

        A process that is exiting may accept the probe and then close the
        connection, which is inconclusive: it is probed again.
        """
        for _ in range(MAX_PROBES):
            answer = await self._probe(name)
            if answer is not None:
                return answer
            await anyio.sleep(clock.seconds(PROBE_INTERVAL_MS))
        return True

    async def _probe(self, name):
        """Return whether the endpoint runs, ``None`` if inconclusive."""
        endpoint = self._loads.endpoint(name)
        if endpoint is None:
            return True
        before = self._loads.report(name)
        try:
            report = await reports.fetch(self._http, name, endpoint.address)
        except errors.EndpointFailed as exc:
            return False if exc.verdict is verdicts.Verdict.NOT_RUN else None
        return before is None or before.boot == report.boot
