"""What this entry believes of the endpoints' load and health.

The entry polls the load reports of a bounded subset of the endpoints and
adds what it sent since the last report.  As other entries send too, its own
count is scaled by its part of the arrivals that the last report showed.
Endpoints that fail are left out for a while, but never all of a model.
"""

import collections
import hashlib
import json
import random
import typing

import anyio

from clementinewall import _http
from clementinewall import clock
from clementinewall.endpoints import reports
from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import members
from clementinewall.policy import load_tracking
from clementinewall import verdicts

_log = logs.PartLog("load")

POLL_TIMEOUT_MS = 1_000
SAME_DATA_CENTRE_MS = 0.5
OTHER_DATA_CENTRE_MS = 1.5
PREFIX_BLOCK_CHARS = 256
MAX_PREFIXES = 8_192
MAX_PREFIXES_PER_PROMPT = 32
CHARS_PER_TOKEN = 4
AFFINITY_CHARS = 1_024
PREFERRED_ENDPOINTS = 2
PREFERRED_EXTRA_CALLS = 4


class _Index(typing.NamedTuple):
    """Ids by ``(kind, name)`` of what is served, in one version."""

    view: typing.Any
    serving: dict
    known: set
    subset: dict


class Loads:
    """The table of endpoints as this entry sees them."""

    def __init__(self, node):
        """Read the configuration in force and the clock of ``node``."""
        self._node = node
        self._polls = node.settings.polls
        self._tracker_by_id = collections.defaultdict(load_tracking.Tracker)
        self._endpoint_by_prefix = collections.OrderedDict()
        self._cached_index = None
        self._http = _http.client(POLL_TIMEOUT_MS)

    async def run(self):
        """Poll the reports for ever."""
        while True:
            wanted = self._due_for_poll()
            for name in list(self._tracker_by_id):
                if name not in self._node.view.endpoints_by_id:
                    del self._tracker_by_id[name]
            async with anyio.create_task_group() as group:
                for name in wanted:
                    group.start_soon(self._poll, name)
            jitter = random.uniform(0.8, 1.2)
            await anyio.sleep(clock.seconds(self._polls.load_ms) * jitter)

    def models(self):
        """Return the names of the models that the fleet serves."""
        names = self._index().serving
        return sorted(name for kind, name in names if kind == "engine")

    def serving(self, kind, name):
        """Return the ids of the endpoints that serve ``name``."""
        return self._index().serving.get((kind, name), [])

    def is_known(self, kind, name):
        """Tell whether any endpoint serves or served ``name``."""
        return (kind, name) in self._index().known

    def usable(self, kind, name, excluded=()):
        """Return the ids to choose from now."""
        ids = [i for i in self.serving(kind, name) if i not in excluded]
        ids = [i for i in ids if not self._is_paused(i)]
        now = self._node.clock.now()
        healthy = [
            i for i in ids if self._tracker_by_id[i].health.is_usable(now)
        ]
        # If every endpoint of a model looks ill, the fault is likelier on
        # this side: leaving them all out would refuse work for nothing.
        return healthy or ids

    def candidates(self, model, prompt, excluded=()):
        """Return the engines to choose from as the policy sees them."""
        preferred = self.preferred("engine", model, prompt)
        subset = self._index().subset.get(("engine", model), [])
        ids = self.usable("engine", model, excluded)
        if len(ids) > self._polls.subset:
            polled = {*subset, *preferred}
            ids = [name for name in ids if name in polled] or ids[
                : self._polls.subset
            ]
        cached = self._cached_tokens(prompt)
        return [self._candidate(name, cached) for name in ids]

    def preference_order(self, kind, name, text):
        """Return the endpoints in the order that equal texts find.

        The order comes from the published configuration, on which all
        entries agree, and from the first part of the text only, so that
        prompts with a common beginning share the caches.
        """
        key = f"{name}|{text[:AFFINITY_CHARS]}"
        return members.rendezvous(key, self.serving(kind, name))

    def preferred(self, kind, name, text):
        """Return the endpoints that equal texts find at every entry."""
        return tuple(
            self.preference_order(kind, name, text)[:PREFERRED_ENDPOINTS]
        )

    def least_busy(self, service, digest, excluded=()):
        """Return the service endpoint with the least open calls.

        Those that equal calls prefer go first unless they are much busier.
        """
        ids = self.usable("service", service, excluded)
        if not ids:
            return None
        order = members.rendezvous(self._node.id, ids)
        preferred = self.preferred("service", service, digest)

        def rank(name):
            extra = 0 if name in preferred else PREFERRED_EXTRA_CALLS
            return self._tracker_by_id[name].open + extra, self._distance(name)

        return min(order, key=rank)

    def endpoint(self, endpoint_id):
        """Return the endpoint's published row, or ``None``."""
        return self._node.view.endpoints_by_id.get(endpoint_id)

    def apply_report_header(self, endpoint_id, text):
        """Take in the report that came along with an answer, if any."""
        if text is None:
            return
        try:
            report = reports.decode(json.loads(text))
        except (ValueError, errors.BadRecord) as exc:
            _log.debug("a garbled header", endpoint=endpoint_id, why=exc)
            return
        self._tracker_by_id[endpoint_id].apply_report(
            report, self._node.clock.now()
        )

    def report(self, endpoint_id):
        """Return the last report of the endpoint, or ``None``."""
        return self._tracker_by_id[endpoint_id].report

    def record_sent(self, endpoint_id, tokens):
        """Count work that goes to the endpoint now."""
        self._tracker_by_id[endpoint_id].sent(tokens)

    def record_end(self, endpoint_id):
        """Count the end of one such work."""
        self._tracker_by_id[endpoint_id].ended()

    def record_answer(self, endpoint_id, gap_ms=None):
        """Note an answer, with the time seen between its tokens."""
        self._tracker_by_id[endpoint_id].record_answer(gap_ms)

    def record_failure(self, endpoint_id):
        """Note a failure; several in a row leave the endpoint out."""
        now = self._node.clock.now()
        paused_ms = self._tracker_by_id[endpoint_id].health.record_failure(now)
        if paused_ms:
            _log.warning(
                "an endpoint is left out", endpoint=endpoint_id, ms=paused_ms
            )

    def record_prefixes(self, endpoint_id, prompt):
        """Note that the engine now caches the prompt's prefixes."""
        for digest, _ in _prefixes(prompt):
            self._endpoint_by_prefix[digest] = endpoint_id
            self._endpoint_by_prefix.move_to_end(digest)
        while len(self._endpoint_by_prefix) > MAX_PREFIXES:
            self._endpoint_by_prefix.popitem(last=False)

    def _cached_tokens(self, prompt):
        """Return the cached tokens by engine, as far as it is known."""
        cached = {}
        for digest, chars in _prefixes(prompt):
            engine = self._endpoint_by_prefix.get(digest)
            if engine is not None:
                cached[engine] = chars // CHARS_PER_TOKEN
        return cached

    def _index(self):
        """Return the tables drawn from the configuration in force.

        They are made anew when its version changes, not for each request:
        a pass over a large fleet takes longer than the whole choice.
        """
        view = self._node.view
        if self._cached_index is None or self._cached_index.view is not view:
            self._cached_index = self._make_index(view)
        return self._cached_index

    def _make_index(self, view):
        serving = collections.defaultdict(list)
        known = collections.defaultdict(list)
        for endpoint_id, endpoint in view.endpoints_by_id.items():
            for name in endpoint.serves:
                known[endpoint.kind, name].append(endpoint_id)
                if endpoint.state == "serving":
                    serving[endpoint.kind, name].append(endpoint_id)
        subset = {}
        for key, ids in known.items():
            order = members.rendezvous(self._node.id, ids)
            order.sort(key=self._distance)
            subset[key] = order[: self._polls.subset]
        return _Index(view, dict(serving), set(known), subset)

    def _is_paused(self, endpoint_id):
        report = self._tracker_by_id[endpoint_id].report
        return report is not None and (report.quiesced or report.changing)

    def _distance(self, endpoint_id):
        endpoint = self._node.view.endpoints_by_id[endpoint_id]
        own = self._node.settings.instance
        return (
            SAME_DATA_CENTRE_MS
            if endpoint.data_centre == own.data_centre
            else OTHER_DATA_CENTRE_MS
        )

    def _candidate(self, endpoint_id, cached):
        return self._tracker_by_id[endpoint_id].candidate(
            endpoint_id,
            self._node.clock.now(),
            self._distance(endpoint_id),
            cached.get(endpoint_id, 0),
        )

    def _due_for_poll(self):
        """Return the endpoints of the subsets whose report is old.

        Answers bring reports along, so under load few are left to poll.
        """
        limit = self._node.clock.now() - self._polls.load_ms / 2
        wanted = set()
        for ids in self._index().subset.values():
            wanted.update(ids)
        return [
            name
            for name in wanted
            if self._tracker_by_id[name].at is None
            or self._tracker_by_id[name].at <= limit
        ]

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
                self.record_failure(endpoint_id)
            return
        self._tracker_by_id[endpoint_id].apply_report(
            report, self._node.clock.now()
        )


def _prefixes(prompt):
    """Yield the digest and length of each whole block of the prompt."""
    state = hashlib.blake2b(digest_size=8)
    last = min(len(prompt), PREFIX_BLOCK_CHARS * MAX_PREFIXES_PER_PROMPT)
    for end in range(PREFIX_BLOCK_CHARS, last + 1, PREFIX_BLOCK_CHARS):
        state.update(prompt[end - PREFIX_BLOCK_CHARS : end].encode())
        yield state.copy().digest(), end
