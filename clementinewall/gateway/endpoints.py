"""This gateway's state for each endpoint: connections, work, cache."""

from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import cache_holders
from clementinewall.gateway import cache_view
from clementinewall.gateway import peer_messages
from clementinewall.gateway import request_limits
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import endpoint_health
from clementinewall.policy import prefill_queue
from clementinewall.policy import prefill_scale
from clementinewall.policy import silence
from clementinewall import verdicts

_log = logs.PartLog("endpoint")

# A host that is down does not refuse connections; waiting for it uses up part
# of the request's target time.
CONNECT_TIMEOUT_MS = 200
# With open requests, an endpoint that sends nothing for so long counts as
# unresponsive.
RESPONSE_TIMEOUT_MS = 1_000


# The record of a running endpoint may expire and come back.  What the endpoint
# said of itself holds for as long as the process that said it.
KEEP_MISSING_MS = 30_000


class Withheld(client.LinkBroken):
    """Nothing was sent, since the endpoint wants no request now."""

    def __init__(self):
        """Create the error for an endpoint that rests or named a limit."""
        super().__init__(
            verdicts.Progress.NEVER_CONNECTED,
            "the endpoint asked for rest, or for fewer requests",
        )


class EndpointState:
    """The state of one incarnation of an endpoint."""

    def __init__(self, endpoint, now, limits):
        """Start without connections or work.

        ``limits`` are the request limits that endpoints named.
        """
        self.endpoint = endpoint
        self._limits = limits
        self._now = now
        self._last_response_at = None
        self._pool = client.Pool(endpoint.address, now, CONNECT_TIMEOUT_MS)
        self._rest_until = now()
        self.is_leaving = False
        self.health = endpoint_health.Health()
        self.open = 0
        self.streams = 0
        self.jobs = []
        self.last_prefill_end = now()
        self.load = None
        self.load_at = None
        # The engine takes no work until then because its stage changes.
        self.unavailable_until = 0
        # When its record was found missing, ``None`` while it is there.
        self.missing_since = None
        self.cache = cache_view.CacheView()

    @property
    def rest_ms(self):
        """Return for how many ms the endpoint still wants no requests.

        Either it asked for rest, or this gateway has used its share of a
        limit that the endpoint named.
        """
        return max(self.span_ms, self._limits.wait_ms(self.endpoint))

    @property
    def span_ms(self):
        """Return what is left of the span for which it asked for rest."""
        return max(0, self._rest_until - self._now())

    @property
    def is_limited(self):
        """Tell whether the endpoint has named a request limit."""
        return self._limits.per_second(self.endpoint) is not None

    def use_share(self):
        """Count a request that will be sent by :meth:`acquire_link`.

        It is counted when the endpoint is chosen: a prompt that is prefilled
        elsewhere first must not find the share used up afterwards.
        """
        self._limits.use(self.endpoint)

    def apply_answer(self, head):
        """Apply what the head of an answer says of the endpoint itself."""
        if calls.reports_leaving(head) and not self.is_leaving:
            self.is_leaving = True
            metrics.count("leaving", service=self.endpoint.service)
            _log.info("reports that it leaves", endpoint=self.endpoint.id)
        try:
            asked_ms = calls.decode_rest_ms(head)
        except errors.BadRecord as exc:
            _log.warning(
                "request for rest ignored",
                endpoint=self.endpoint.id,
                why=exc.message,
            )
            return
        if asked_ms and not self.span_ms:
            metrics.count("rests", service=self.endpoint.service)
            _log.info(
                "asked for rest",
                endpoint=self.endpoint.id,
                rest_ms=round(asked_ms),
            )
        self._rest_until = max(self._rest_until, self._now() + asked_ms)

    def apply_request_limit(self, head):
        """Apply the limit that the answer to a caller's request names.

        Other answers, such as reports, need not name it.
        """
        if calls.is_misdirected(head):
            return
        try:
            per_second = calls.decode_request_limit(head)
        except errors.BadRecord as exc:
            _log.warning(
                "request limit ignored",
                endpoint=self.endpoint.id,
                why=exc.message,
            )
            return
        self._limits.record(self.endpoint, per_second)

    async def acquire_link(self):
        """Return a connection for one request, counted by :meth:`use_share`.

        :raises Withheld: the endpoint has asked for rest.
        :raises LinkBroken: the connection could not be established.
        """
        return await self._connect(self._pool.acquire)

    async def _connect(self, connect):
        self._check_rest()
        link = await connect()
        if self.span_ms:
            # It asked for rest while the connection was established.
            self._pool.discard(link)
            self._check_rest()
        return link

    def release_link(self, link):
        """Return a connection whose answer was read to its end."""
        self._pool.release(link)

    def discard_link(self, link):
        """Close a connection that cannot be used again."""
        self._pool.discard(link)

    async def send_request(
        self, request, max_bytes, fresh=False, follows=False
    ):
        """Send a request and return the head and body of its answer.

        ``fresh`` uses a new connection and closes it afterwards; ``follows``
        tells that it completes what an earlier request began, and does not
        wait for another share of a limit.

        :raises Withheld: the endpoint has asked for rest, or has named a limit
            of which this gateway's share is used up.
        :raises LinkBroken: the exchange failed, or the body is over
            ``max_bytes`` bytes.
        """
        if not follows and not self.span_ms and self.rest_ms:
            self._withhold()
        self.use_share()
        connect = self._pool.connect if fresh else self._pool.acquire
        link = await self._connect(connect)
        return await self._pool.exchange(
            link, request, max_bytes, fresh, self.apply_answer
        )

    def _check_rest(self):
        if self.span_ms:
            self._withhold()

    def _withhold(self):
        metrics.count("withheld", service=self.endpoint.service)
        raise Withheld()

    def prune_links(self):
        """Close the idle connections whose keep-alive time is over."""
        self._pool.prune()

    def close_links(self):
        """Close all idle connections."""
        self._pool.close()

    def begin(self):
        """Count a request as open."""
        if not self.open:
            self._last_response_at = self._now()
        self.open += 1

    def end(self):
        """Count the end of a request."""
        self.open -= 1

    def record_response(self):
        """Record that the endpoint sent data."""
        self._last_response_at = self._now()

    def is_usable(self):
        """Return whether new work may be sent to the endpoint."""
        now = self._now()
        if now < self.unavailable_until or self._is_timed_out():
            return False
        return not self.rest_ms and self.health.is_usable(now)

    def record_failure(self, absent=False):
        """Record a request that failed; ``absent`` if nothing listens there.

        An endpoint that asked for rest has said itself when to try again.
        """
        if absent or not self.span_ms:
            self.health.record_failure(self._now(), absent)

    def is_unavailable(self):
        """Return whether requests to the endpoint would get no answer."""
        return self._now() < self.unavailable_until or self.is_unresponsive()

    def is_unresponsive(self):
        """Return whether the endpoint answers no requests at all.

        A time-out alone is not enough: a single lost answer keeps a request
        open while the endpoint answers all others.
        """
        now = self._now()
        if self.health.is_absent(now):
            return True
        return self._is_timed_out() and not self.health.is_usable(now)

    def may_be_pausing(self):
        """Return whether a sound endpoint could be silent for as long.

        It is then usable but for its silence.
        """
        now = self._now()
        if now < self.unavailable_until or not self.health.is_usable(now):
            return False
        return not self._is_silent_for(silence.SOUND_SILENCE_MS)

    def _is_timed_out(self):
        return self._is_silent_for(RESPONSE_TIMEOUT_MS)

    def _is_silent_for(self, ms):
        return bool(self.open) and self._now() - self._last_response_at > ms

    def begin_prompt(self, urgency, cost_ms):
        """Record a prompt sent now; return its job for ``end_prompt``."""
        job = prefill_queue.Job(urgency, cost_ms, self._now())
        self.jobs.append(job)
        return job

    def end_prompt(self, job, was_read):
        """Record that a prompt was answered or abandoned."""
        self.jobs.remove(job)
        if was_read:
            self.last_prefill_end = self._now()

    def own_work(self):
        """Return this gateway's unfinished work."""
        return peer_messages.Work(
            tuple(self.jobs), self.streams, self.last_prefill_end
        )


class Endpoints:
    """All endpoints, by id."""

    def __init__(self, fleet_view, now):
        """Use the endpoints of ``fleet_view``."""
        self._fleet_view = fleet_view
        self._now = now
        self.request_limits = request_limits.RequestLimits(now)
        self._state_by_incarnation = {}
        self._prefills = []
        self._changes = cache_view.UnsentChanges()
        self.scales = prefill_scale.PrefillScales()
        self.cache_holders = cache_holders.CacheHolders(now)

    def state(self, endpoint):
        """Return the state of this incarnation of an endpoint."""
        state = self._state_by_incarnation.get(endpoint.incarnation_key)
        if state is None:
            state = EndpointState(endpoint, self._now, self.request_limits)
            self._state_by_incarnation[endpoint.incarnation_key] = state
        if state.endpoint.stage != endpoint.stage:
            # Failures in its previous stage do not apply to the new one.
            state.health = endpoint_health.Health()
        state.endpoint = endpoint
        return state

    def of_service(self, service):
        """Return the states of the endpoints that don't leave."""
        states = [
            self.state(endpoint)
            for endpoint in self._fleet_view.endpoint_by_id.values()
            if endpoint.service == service and not endpoint.draining
        ]
        return [state for state in states if not state.is_leaving]

    def find(self, endpoint_id):
        """Return the state of an endpoint that doesn't leave, or ``None``."""
        endpoint = self._fleet_view.endpoint_by_id.get(endpoint_id)
        if endpoint is None or endpoint.draining:
            return None
        state = self.state(endpoint)
        return None if state.is_leaving else state

    def takes_work(self, state):
        """Return whether the endpoint still takes work meant for it."""
        if state.span_ms or state.is_leaving:
            return False
        known = self._fleet_view.endpoint_by_id.get(state.endpoint.id)
        return (
            known is not None
            and known.incarnation_key == state.endpoint.incarnation_key
            and not known.draining
        )

    def apply_peer_prefill(self, endpoint_id, parts):
        """Apply a prompt that an engine prefilled for another gateway."""
        endpoint = self._fleet_view.endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            self.state(endpoint).cache.use(parts, self._capacity(endpoint))
            self._changes.record_shared(parts)
            self.cache_holders.record_peer(endpoint_id, parts)

    def apply_cached_parts(self, state, parts):
        """Apply parts that an engine reports as cached."""
        for part in parts:
            state.cache.put(part.id, part.tokens)

    def replace_cache(self, state, parts):
        """Replace the view of an engine's cache; queue evictions for peers.

        Return how many parts were assumed cached but are not.
        """
        dropped = state.cache.part_ids - {part.id for part in parts}
        for part_id in dropped:
            change = cache_view.Change(state.endpoint.id, part_id, 0)
            self._changes.take(state.cache, change)
        self.apply_cached_parts(state, parts)
        return len(dropped)

    def apply_cache_changes(self, state, parts):
        """Apply cache changes that an engine reports, oldest first."""
        tokens_by_part_id = {part.id: part.tokens for part in parts}
        for part_id, tokens in tokens_by_part_id.items():
            change = cache_view.Change(state.endpoint.id, part_id, tokens)
            self._changes.take(state.cache, change)

    def apply_peer_cache_changes(self, rows):
        """Apply changes of caches that another gateway polls.

        :raises TypeError, ValueError, OverflowError: if malformed.
        """
        for endpoint_id, part_id, tokens in rows:
            state = self.find(str(endpoint_id))
            if state is not None:
                state.cache.put(str(part_id), max(0, int(tokens)))

    def drain_cache_changes(self):
        """Return and clear the cache changes not yet sent to peers."""
        return self._changes.drain()

    def record_prefill(self, state, prompt):
        """Record a prefill for this gateway, and queue it for peers."""
        parts = [(part.id, part.tokens) for part in prompt.parts]
        state.cache.use(parts, self._capacity(state.endpoint))
        # The last part is specific to this request.
        shared = parts[:-1]
        self._changes.record_shared(shared)
        self._prefills.append((state.endpoint.id, shared))
        self.cache_holders.record(state.endpoint.id, shared)

    def record_fetch(self, state, prompt):
        """Record that an engine fetched the KV cache of a prompt."""
        parts = [(part.id, part.tokens) for part in prompt.parts]
        state.cache.use(parts, self._capacity(state.endpoint))
        self._prefills.append((state.endpoint.id, parts[:-1]))

    def _capacity(self, endpoint):
        configuration = self._fleet_view.configuration
        service = configuration and configuration.service_by_name.get(
            endpoint.service
        )
        if not service or service.engine is None:
            return 0
        return service.engine.kv_tokens

    def unavailable_ms_by_endpoint_id(self):
        """Return for how many ms engines that change stage take no work."""
        now = self._now()
        return {
            state.endpoint.id: state.unavailable_until - now
            for state in self._state_by_incarnation.values()
            if state.unavailable_until > now
        }

    def apply_unavailability(self, endpoint_id, ms):
        """Record that an engine takes no work for ``ms``."""
        endpoint = self._fleet_view.endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            self.state(endpoint).unavailable_until = self._now() + ms

    @property
    def has_unsent_changes(self):
        """Return whether prefills or cache changes wait to be sent."""
        return bool(self._prefills) or bool(self._changes)

    def drain_prefills(self):
        """Return and clear the prefills not yet sent to peers."""
        read = self._prefills
        self._prefills = []
        return read

    def work_by_endpoint_id(self):
        """Return this gateway's unfinished work at each engine."""
        work = {}
        for state in self._state_by_incarnation.values():
            own = state.own_work()
            if own.streams or own.jobs:
                work[state.endpoint.id] = own
        return work

    def sweep(self):
        """Close the connections of removed endpoints, and idle ones."""
        self.request_limits.sweep(self._fleet_view.endpoint_by_id)
        current = {
            endpoint.incarnation_key
            for endpoint in self._fleet_view.endpoint_by_id.values()
        }
        for incarnation, state in list(self._state_by_incarnation.items()):
            if incarnation in current:
                state.missing_since = None
                state.prune_links()
                continue
            state.close_links()
            if state.missing_since is None:
                state.missing_since = self._now()
            if self._is_forgotten(state):
                del self._state_by_incarnation[incarnation]
                _log.info("endpoint state removed", endpoint=state.endpoint.id)

    def _is_forgotten(self, state):
        missing_ms = self._now() - state.missing_since
        return (
            not state.open
            and not state.span_ms
            and missing_ms >= KEEP_MISSING_MS
        )


def is_engine(state):
    """Return whether the endpoint is a model engine with a stage."""
    return state.endpoint.stage in (domain.PREFILL, domain.DECODE)
