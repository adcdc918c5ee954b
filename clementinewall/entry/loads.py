"""This entry's view of the load and health of the endpoints.

The entry polls the load reports of a bounded subset of the endpoints and
adds the work that it sent since the last report.  As other entries send work
too, its own count is scaled by its fraction of the arrivals in the last
report.  Failing endpoints are excluded for a while, but never all endpoints
of a model.
"""

import collections
import hashlib
import json
import random
import typing

import anyio

from clementinewall import _http
from clementinewall import clock
from clementinewall import containment
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
    """Endpoint ids by ``(kind, name)`` for one configuration version."""

    view: typing.Any
    serving: dict
    known: set
    subset: dict


class Loads:
    """The load and health of each endpoint, as this entry knows it."""

    def __init__(self, node):
        """Use the active configuration and the clock of ``node``."""
        self._node = node
        self._polls = node.settings.polls
        self._tracker_by_id = collections.defaultdict(load_tracking.Tracker)
        self._endpoint_by_prefix = collections.OrderedDict()
        self._cached_index = None
        self._http = _http.client(POLL_TIMEOUT_MS)

    async def run(self):
        """Poll load reports until cancelled."""
        while True:
            due_ids = self._due_for_poll()
            for name in list(self._tracker_by_id):
                if name not in self._node.view.endpoints_by_id:
                    del self._tracker_by_id[name]
            async with anyio.create_task_group() as group:
                for name in due_ids:
                    group.start_soon(
                        containment.run_once,
                        _log,
                        "a load report",
                        self._poll,
                        name,
                    )
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
        """Return whether any endpoint lists ``name``, in any state."""
        return (kind, name) in self._index().known

    def usable(self, kind, name, excluded=()):
        """Return the ids of endpoints that may be chosen now."""
        ids = [i for i in self.serving(kind, name) if i not in excluded]
        ids = [i for i in ids if not self._is_paused(i)]
        now = self._node.clock.now()
        healthy = [
            i for i in ids if self._tracker_by_id[i].health.is_usable(now)
        ]
        # If every endpoint of a model appears unhealthy, the fault is more
        # likely on this side; excluding them all would refuse work needlessly.
        return healthy or ids

    def candidates(self, model, prompt, excluded=()):
        """Return the engines to choose from, as routing candidates."""
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
        """Return the endpoints in the order in which to prefer them.

        The order depends on the published configuration, which all entries
        share, and on the first ``AFFINITY_CHARS`` characters of the text
        only, so that prompts with a common prefix share a cache.
        """
        key = f"{name}|{text[:AFFINITY_CHARS]}"
        return members.rendezvous(key, self.serving(kind, name))

    def preferred(self, kind, name, text):
        """Return the endpoints that every entry prefers for the text."""
        return tuple(
            self.preference_order(kind, name, text)[:PREFERRED_ENDPOINTS]
        )

    def least_busy(self, service, digest, excluded=()):
        """Return the service endpoint with the fewest open calls.

        Others count ``PREFERRED_EXTRA_CALLS`` more open calls than those
        that equal calls prefer.  ``None`` if no endpoint is usable.
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
        """Return the endpoint's row in the configuration, or ``None``."""
        return self._node.view.endpoints_by_id.get(endpoint_id)

    def apply_report_header(self, endpoint_id, text):
        """Apply the load report in the header of an answer, if any."""
        if text is None:
            return
        try:
            report = reports.decode(json.loads(text))
        except (ValueError, errors.BadRecord) as exc:
            _log.debug(
                "malformed load report in a header; ignored",
                endpoint=endpoint_id,
                why=exc,
            )
            return
        self._tracker_by_id[endpoint_id].apply_report(
            report, self._node.clock.now()
        )

    def report(self, endpoint_id):
        """Return the last report of the endpoint, or ``None``."""
        return self._tracker_by_id[endpoint_id].report

    def record_sent(self, endpoint_id, tokens):
        """Count a request that is sent to the endpoint."""
        self._tracker_by_id[endpoint_id].sent(tokens)

    def record_end(self, endpoint_id):
        """Count the end of a request at the endpoint."""
        self._tracker_by_id[endpoint_id].ended()

    def record_answer(self, endpoint_id, gap_ms=None):
        """Record an answer, with the time between its tokens in ms."""
        self._tracker_by_id[endpoint_id].record_answer(gap_ms)

    def record_failure(self, endpoint_id):
        """Record a failure; several in a row exclude the endpoint."""
        now = self._node.clock.now()
        paused_ms = self._tracker_by_id[endpoint_id].health.record_failure(now)
        if paused_ms:
            _log.warning(
                "endpoint excluded after repeated failures",
                endpoint=endpoint_id,
                ms=paused_ms,
            )

    def record_prefixes(self, endpoint_id, prompt):
        """Record that the engine now caches the prompt's prefixes."""
        for digest, _ in _prefixes(prompt):
            self._endpoint_by_prefix[digest] = endpoint_id
            self._endpoint_by_prefix.move_to_end(digest)
        while len(self._endpoint_by_prefix) > MAX_PREFIXES:
            self._endpoint_by_prefix.popitem(last=False)

    def _cached_tokens(self, prompt):
        """Return the known number of cached prefix tokens by engine id."""
        cached = {}
        for digest, chars in _prefixes(prompt):
            engine = self._endpoint_by_prefix.get(digest)
            if engine is not None:
                cached[engine] = chars // CHARS_PER_TOKEN
        return cached

    def _index(self):
        """Return the index of the active configuration.

        It is rebuilt when the configuration changes, not for each request:
        a pass over a large fleet takes longer than choosing an endpoint.
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

        Answers carry load reports too, so under load few need a poll.
        """
        limit = self._node.clock.now() - self._polls.load_ms / 2
        due_ids = set()
        for ids in self._index().subset.values():
            due_ids.update(ids)
        return [
            name
            for name in due_ids
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
            _log.debug(
                "load report not received",
                endpoint=endpoint_id,
                why=exc.message,
            )
            if exc.verdict is verdicts.Verdict.NOT_RUN:
                self.record_failure(endpoint_id)
            return
        self._tracker_by_id[endpoint_id].apply_report(
            report, self._node.clock.now()
        )


def _prefixes(prompt):
    """Yield digest and length in characters of each prefix in blocks."""
    state = hashlib.blake2b(digest_size=8)
    last = min(len(prompt), PREFIX_BLOCK_CHARS * MAX_PREFIXES_PER_PROMPT)
    for end in range(PREFIX_BLOCK_CHARS, last + 1, PREFIX_BLOCK_CHARS):
        state.update(prompt[end - PREFIX_BLOCK_CHARS : end].encode())
        yield state.copy().digest(), end
