"""What this entry believes of the endpoints' load and health.

The entry polls the load reports of a bounded subset of the endpoints and
adds what it sent since the last report.  As other entries send too, its own
count is scaled by its part of the arrivals that the last report showed.
Endpoints that fail are left out for a while, but never all of a model.
"""

import collections
import hashlib
import random

import anyio

from clementinewall import clock
from clementinewall.endpoints import reports
from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import members
from clementinewall.policy import routing
from clementinewall.policy import speed
from clementinewall import verdicts

_log = logs.PartLog("load")

POLL_MS = 500
POLL_TIMEOUT_MS = 1_000
SUBSET = 16
NEAR_MS = 0.5
FAR_MS = 1.5
REGION_MS = 20.0
MAX_SCALE = 16.0
PREFIX_CHARS = 256
PREFIXES_LIMIT = 8_192
PREFIXES_A_PROMPT = 32
CHARS_PER_TOKEN = 4
AFFINITY_CHARS = 1_024
PREFERRED = 2
PREFERRED_OPEN = 4


class _Seen:
    """What is known of one endpoint."""

    def __init__(self):
        self.report = None
        self.at = None
        self.sent_tokens = 0.0
        self.sent_streams = 0
        self.sent_count = 0
        self.scale = 1.0
        self.open = 0
        self.health = speed.Health()


class Loads:
    """The table of endpoints as this entry sees them."""

    def __init__(self, node):
        """Read the configuration in force and the clock of ``node``."""
        self._node = node
        self._seen_by_id = collections.defaultdict(_Seen)
        self._endpoint_by_prefix = collections.OrderedDict()
        self._http = reports.client(clock.seconds(POLL_TIMEOUT_MS))

    async def run(self):
        """Poll the reports for ever."""
        while True:
            wanted = self._subset()
            for name in list(self._seen_by_id):
                if name not in self._node.view.endpoints_by_id:
                    del self._seen_by_id[name]
            async with anyio.create_task_group() as group:
                for name in wanted:
                    group.start_soon(self._poll, name)
            spread = random.uniform(0.8, 1.2)
            await anyio.sleep(clock.seconds(POLL_MS) * spread)

    def models(self):
        """Return the names of the models that the fleet serves."""
        return sorted(
            {
                model
                for endpoint in self._node.view.endpoints_by_id.values()
                if endpoint.kind == "engine" and endpoint.state == "serving"
                for model in endpoint.serves
            }
        )

    def serving(self, kind, name):
        """Return the ids of the endpoints that serve ``name``."""
        return [
            endpoint_id
            for endpoint_id, endpoint in self._endpoints()
            if endpoint.kind == kind
            and name in endpoint.serves
            and endpoint.state == "serving"
        ]

    def is_known(self, kind, name):
        """Tell whether any endpoint serves or served ``name``."""
        return any(
            endpoint.kind == kind and name in endpoint.serves
            for _, endpoint in self._endpoints()
        )

    def usable(self, kind, name, without=()):
        """Return the ids to choose from now."""
        ids = [i for i in self.serving(kind, name) if i not in without]
        ids = [i for i in ids if not self._is_paused(i)]
        now = self._node.clock.now()
        well = [i for i in ids if self._seen_by_id[i].health.is_usable(now)]
        # If every endpoint of a model looks ill, the fault is likelier on
        # this side: leaving them all out would refuse work for nothing.
        return well or ids

    def candidates(self, model, prompt, without=()):
        """Return the engines to choose from as the policy sees them."""
        ids = self.usable("engine", model, without)
        hints = self._hints(prompt)
        near = members.rendezvous(self._node.id, ids)
        near.sort(key=self._distance)
        return [self._candidate(name, hints) for name in near[:SUBSET]]

    def preferred(self, kind, name, text):
        """Return the endpoints that equal texts find at every entry.

        They are taken from the published configuration, on which all
        entries agree, and by the first part of the text only, so that
        prompts with a common beginning share the caches.
        """
        key = f"{name}|{text[:AFFINITY_CHARS]}"
        order = members.rendezvous(key, self.serving(kind, name))
        return tuple(order[:PREFERRED])

    def least_busy(self, service, digest, without=()):
        """Return the service endpoint with the least open calls.

        Those that equal calls prefer go first unless they are much busier.
        """
        ids = self.usable("service", service, without)
        if not ids:
            return None
        order = members.rendezvous(self._node.id, ids)
        liked = self.preferred("service", service, digest)

        def rank(name):
            extra = 0 if name in liked else PREFERRED_OPEN
            return self._seen_by_id[name].open + extra, self._distance(name)

        return min(order, key=rank)

    def endpoint(self, endpoint_id):
        """Return the endpoint's published row, or ``None``."""
        return self._node.view.endpoints_by_id.get(endpoint_id)

    def report(self, endpoint_id):
        """Return the last report of the endpoint, or ``None``."""
        return self._seen_by_id[endpoint_id].report

    def sent(self, endpoint_id, tokens):
        """Count work that goes to the endpoint now."""
        seen = self._seen_by_id[endpoint_id]
        seen.sent_tokens += tokens
        seen.sent_streams += 1
        seen.sent_count += 1
        seen.open += 1

    def ended(self, endpoint_id):
        """Count the end of one such work."""
        self._seen_by_id[endpoint_id].open -= 1

    def worked(self, endpoint_id, gap_ms=None):
        """Note an answer, with the time seen between its tokens."""
        seen = self._seen_by_id[endpoint_id]
        expected = None
        if gap_ms is not None and seen.report is not None:
            expected = routing.predict_gap(
                self._candidate(endpoint_id, {})._replace(slowness=1.0)
            )
        seen.health.worked(gap_ms, expected)

    def failed(self, endpoint_id):
        """Note a failure; several in a row leave the endpoint out."""
        now = self._node.clock.now()
        paused_ms = self._seen_by_id[endpoint_id].health.failed(now)
        if paused_ms:
            _log.warning(
                "an endpoint is left out", endpoint=endpoint_id, ms=paused_ms
            )

    def remember_prefix(self, endpoint_id, prompt):
        """Note that the engine now caches the prompt's prefixes."""
        for digest, _ in _prefixes(prompt):
            self._endpoint_by_prefix[digest] = endpoint_id
            self._endpoint_by_prefix.move_to_end(digest)
        while len(self._endpoint_by_prefix) > PREFIXES_LIMIT:
            self._endpoint_by_prefix.popitem(last=False)

    def _hints(self, prompt):
        """Return the cached tokens by engine, as far as it is known."""
        cached = {}
        for digest, chars in _prefixes(prompt):
            engine = self._endpoint_by_prefix.get(digest)
            if engine is not None:
                cached[engine] = chars // CHARS_PER_TOKEN
        return cached

    def _endpoints(self):
        return self._node.view.endpoints_by_id.items()

    def _is_paused(self, endpoint_id):
        report = self._seen_by_id[endpoint_id].report
        return report is not None and (report.quiesced or report.changing)

    def _distance(self, endpoint_id):
        endpoint = self._node.view.endpoints_by_id[endpoint_id]
        own = self._node.settings.instance
        return NEAR_MS if endpoint.data_centre == own.data_centre else FAR_MS

    def _candidate(self, endpoint_id, hints):
        seen = self._seen_by_id[endpoint_id]
        report = seen.report or reports.Report(kind="engine")
        now = self._node.clock.now()
        return routing.Candidate(
            id=endpoint_id,
            role=report.role,
            distance_ms=self._distance(endpoint_id),
            prefill_ms=report.prefill_us / 1_000,
            gap_ms=report.gap_ms,
            slots=max(1, report.slots),
            queued_tokens=report.queued_tokens,
            running=report.running,
            sent_tokens=seen.sent_tokens * seen.scale,
            sent_streams=seen.sent_streams * seen.scale,
            report_age_ms=0 if seen.at is None else now - seen.at,
            cached_tokens=hints.get(endpoint_id, 0),
            slowness=seen.health.slowness,
        )

    def _subset(self):
        by_model = collections.defaultdict(list)
        for endpoint_id, endpoint in self._endpoints():
            if endpoint.state != "withdrawn":
                for name in endpoint.serves:
                    by_model[name].append(endpoint_id)
        wanted = set()
        for ids in by_model.values():
            order = members.rendezvous(self._node.id, ids)
            order.sort(key=self._distance)
            wanted.update(order[:SUBSET])
        return wanted

    async def _poll(self, endpoint_id):
        endpoint = self.endpoint(endpoint_id)
        if endpoint is None:
            return
        try:
            report = await reports.fetch(
                self._http, endpoint_id, endpoint.address
            )
        except errors.EndpointFailed as exc:
            _log.debug("no report", endpoint=endpoint_id, why=exc.message)
            if exc.verdict is verdicts.Verdict.NOT_RUN:
                self.failed(endpoint_id)
            return
        self._take(self._seen_by_id[endpoint_id], report)

    def _take(self, seen, report):
        arrived = 0
        if seen.report is not None:
            arrived = max(0, report.arrived - seen.report.arrived)
        if arrived and seen.sent_count:
            part = max(1.0, arrived / seen.sent_count)
            seen.scale = min(MAX_SCALE, 0.5 * seen.scale + 0.5 * part)
        seen.report = report
        seen.at = self._node.clock.now()
        seen.sent_tokens = 0.0
        seen.sent_streams = 0
        seen.sent_count = 0
        seen.health.reported()


def _prefixes(prompt):
    """Yield the digest and length of each whole block of the prompt."""
    state = hashlib.blake2b(digest_size=8)
    last = min(len(prompt), PREFIX_CHARS * PREFIXES_A_PROMPT)
    for end in range(PREFIX_CHARS, last + 1, PREFIX_CHARS):
        state.update(prompt[end - PREFIX_CHARS : end].encode())
        yield state.copy().digest(), end
