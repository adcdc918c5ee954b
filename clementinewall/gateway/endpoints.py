"""The endpoints as this gateway uses them: connections, work, caches."""

from clementinewall import domain
from clementinewall.gateway import cache_holders
from clementinewall.gateway import cache_view
from clementinewall.gateway import peer_messages
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall.policy import endpoint_health
from clementinewall.policy import prefill_queue
from clementinewall.policy import prefill_scale

_log = logs.PartLog("endpoint")

# An endpoint without power answers nothing, and whoever waits for it loses
# that time of its target.
CONNECT_TIMEOUT_MS = 200
# With work open, an endpoint that says nothing for so long is taken for dead.
RESPONSE_TIMEOUT_MS = 1_000


class EndpointState:
    """One life of an endpoint."""

    def __init__(self, endpoint, now):
        """Begin with no connection and no work."""
        self.endpoint = endpoint
        self._now = now
        self._last_response_at = None
        self.pool = client.Pool(endpoint.address, now, CONNECT_TIMEOUT_MS)
        self.health = endpoint_health.Health()
        self.open = 0
        self.streams = 0
        self.jobs = []
        self.last_prefill_end = now()
        self.load = None
        self.load_at = None
        # Until when the engine changes its stage and takes no work.
        self.unavailable_until = 0
        self.cache = cache_view.CacheView()

    def begin(self):
        """Count a request that is sent now."""
        if not self.open:
            self._last_response_at = self._now()
        self.open += 1

    def end(self):
        """Count the end of a request."""
        self.open -= 1

    def record_response(self):
        """Note that the endpoint said something."""
        self._last_response_at = self._now()

    def is_usable(self):
        """Tell whether new work may go there."""
        now = self._now()
        if now < self.unavailable_until or self._is_timed_out():
            return False
        return self.health.is_usable(now)

    def is_unavailable(self):
        """Tell whether nothing that is sent there would be answered."""
        return self._now() < self.unavailable_until or self.is_unresponsive()

    def is_unresponsive(self):
        """Tell whether the endpoint doesn't answer at all.

        Silence alone doesn't tell: a single answer that got lost keeps a
        request open while the endpoint answers all others.
        """
        now = self._now()
        if self.health.is_absent(now):
            return True
        return self._is_timed_out() and not self.health.is_usable(now)

    def _is_timed_out(self):
        return (
            bool(self.open)
            and self._now() - self._last_response_at > RESPONSE_TIMEOUT_MS
        )

    def begin_prompt(self, urgency, cost_ms):
        """Note a prompt that is sent now; return it for its end."""
        job = prefill_queue.Job(urgency, cost_ms, self._now())
        self.jobs.append(job)
        return job

    def end_prompt(self, job, was_read):
        """Note that a prompt was answered or given up."""
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
        """Use what the beliefs say."""
        self._fleet_view = fleet_view
        self._now = now
        self._state_by_incarnation = {}
        self._prefills = []
        self._changes = cache_view.UnsentChanges()
        self.scales = prefill_scale.PrefillScales()
        self.cache_holders = cache_holders.CacheHolders(now)

    def state(self, endpoint):
        """Return the state of this life of an endpoint."""
        state = self._state_by_incarnation.get(endpoint.incarnation_key)
        if state is None:
            state = EndpointState(endpoint, self._now)
            self._state_by_incarnation[endpoint.incarnation_key] = state
        if state.endpoint.stage != endpoint.stage:
            # What it refused in its stage before says nothing any more.
            state.health = endpoint_health.Health()
        state.endpoint = endpoint
        return state

    def of_service(self, service):
        """Return the states of the endpoints that take new work."""
        return [
            self.state(endpoint)
            for endpoint in self._fleet_view.endpoint_by_id.values()
            if endpoint.service == service and not endpoint.draining
        ]

    def find(self, endpoint_id):
        """Return the state of an endpoint that takes new work, or ``None``."""
        endpoint = self._fleet_view.endpoint_by_id.get(endpoint_id)
        if endpoint is None or endpoint.draining:
            return None
        return self.state(endpoint)

    def is_current(self, state):
        """Tell whether the endpoint still takes new work."""
        known = self._fleet_view.endpoint_by_id.get(state.endpoint.id)
        return (
            known is not None
            and known.incarnation_key == state.endpoint.incarnation_key
            and not known.draining
        )

    def apply_peer_prefill(self, endpoint_id, parts):
        """Note prompts that another gateway had read."""
        endpoint = self._fleet_view.endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            self.state(endpoint).cache.use(parts, self._capacity(endpoint))
            self._changes.record_shared(parts)
            self.cache_holders.record_peer(endpoint_id, parts)

    def apply_cached_parts(self, state, parts):
        """Note parts that an engine says it keeps."""
        for part in parts:
            state.cache.put(part.id, part.tokens)

    def replace_cache(self, state, parts):
        """Note that an engine keeps these parts only, for others too.

        Return how many others it was believed to keep.
        """
        dropped = state.cache.part_ids - {part.id for part in parts}
        for part_id in dropped:
            change = cache_view.Change(state.endpoint.id, part_id, 0)
            self._changes.take(state.cache, change)
        self.apply_cached_parts(state, parts)
        return len(dropped)

    def apply_cache_changes(self, state, parts):
        """Note changes that an engine tells of its cache, oldest first."""
        tokens_by_part_id = {part.id: part.tokens for part in parts}
        for part_id, tokens in tokens_by_part_id.items():
            change = cache_view.Change(state.endpoint.id, part_id, tokens)
            self._changes.take(state.cache, change)

    def apply_peer_cache_changes(self, rows):
        """Note changes of caches that another gateway follows.

        :raises TypeError, ValueError, OverflowError: it is no such message.
        """
        for endpoint_id, part_id, tokens in rows:
            state = self.find(str(endpoint_id))
            if state is not None:
                state.cache.put(str(part_id), max(0, int(tokens)))

    def drain_cache_changes(self):
        """Return the changes of caches that others weren't told yet."""
        return self._changes.drain()

    def record_prefill(self, state, prompt):
        """Note a prompt that was read for this gateway, to tell others."""
        parts = [(part.id, part.tokens) for part in prompt.parts]
        state.cache.use(parts, self._capacity(state.endpoint))
        # The last part belongs to this request alone.
        shared = parts[:-1]
        self._changes.record_shared(shared)
        self._prefills.append((state.endpoint.id, shared))
        self.cache_holders.record(state.endpoint.id, shared)

    def record_fetch(self, state, prompt):
        """Note that an engine fetched the memory of a prompt and keeps it."""
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
        """Return for how long engines that change their stage are away."""
        now = self._now()
        return {
            state.endpoint.id: state.unavailable_until - now
            for state in self._state_by_incarnation.values()
            if state.unavailable_until > now
        }

    def apply_unavailability(self, endpoint_id, ms):
        """Note that an engine changes its stage."""
        endpoint = self._fleet_view.endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            self.state(endpoint).unavailable_until = self._now() + ms

    def drain_prefills(self):
        """Return what was read since the last time."""
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
        """Close what is left of endpoints that are gone, and old links."""
        current = {
            endpoint.incarnation_key
            for endpoint in self._fleet_view.endpoint_by_id.values()
        }
        for incarnation, state in list(self._state_by_incarnation.items()):
            if incarnation in current:
                state.pool.prune()
                continue
            state.pool.close()
            if not state.open:
                del self._state_by_incarnation[incarnation]
                _log.info("endpoint forgotten", endpoint=state.endpoint.id)


def is_engine(state):
    """Tell whether the endpoint is a model engine with a stage."""
    return state.endpoint.stage in (domain.PREFILL, domain.DECODE)
