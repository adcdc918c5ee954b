"""The endpoints that this gateway knows, and what it tells peers of them."""

import collections
import random

from clementinewall import domain
from clementinewall.gateway import cache_holders
from clementinewall.gateway import cache_view
from clementinewall.gateway import endpoint_path
from clementinewall.gateway import endpoint_state
from clementinewall.gateway import engine_speeds
from clementinewall.gateway import request_limits
from clementinewall import logs
from clementinewall.policy import endpoint_health
from clementinewall.policy import prefill_scale

_log = logs.PartLog("endpoint")

# The record of a running endpoint may expire and come back.  What the endpoint
# said of itself holds for as long as the process that said it.
KEEP_MISSING_MS = 30_000
# Endpoints that are drawn, and of them checked, to tell a crash from a cut.
MAX_DRAWN = 8
MAX_CHECKED = 2
# So many are tried before a gateway that is refused takes itself for cut off.
MAX_CONNECTED = 3


class Endpoints:
    """All endpoints, by id."""

    def __init__(self, fleet_view, now, relays=None):
        """Use the endpoints of ``fleet_view``.

        ``relays`` are the gateways through which they may be reached.
        """
        self._fleet_view = fleet_view
        self._now = now
        self.request_limits = request_limits.RequestLimits(now)
        self._state_by_incarnation = {}
        self._prompt_ms_of_removed = collections.Counter()
        self._prefills = []
        self._changes = cache_view.UnsentChanges()
        self.scales = prefill_scale.PrefillScales()
        self.speeds = engine_speeds.EngineSpeeds(now)
        self.cache_holders = cache_holders.CacheHolders(now)
        self._relays = relays
        if relays is not None:
            relays.on_cut = self.check_paths

    def state(self, endpoint):
        """Return the state of this incarnation of an endpoint."""
        state = self._state_by_incarnation.get(endpoint.incarnation_key)
        if state is None:
            state = endpoint_state.EndpointState(
                endpoint, self._now, self.request_limits, self._relays
            )
            state.is_doubtful = lambda: self._is_doubtful(state)
            self._state_by_incarnation[endpoint.incarnation_key] = state
        if state.endpoint.stage != endpoint.stage:
            # Failures in its previous stage do not apply to the new one.
            state.health = endpoint_health.Health()
        state.endpoint = endpoint
        return state

    def _is_doubtful(self, state):
        """Tell whether another process may answer at a model engine.

        An engine may start again under its id with other software, before
        its new record is known here.
        """
        if not is_engine(state):
            return False
        if self._fleet_view.versions.are_several(state.endpoint.service):
            return True
        return state.has_failed and not self._fleet_view.is_current

    async def reaches_another(self, state):
        """Tell whether a new connection to another endpoint is accepted.

        If there is no other, nothing tells against it.
        """
        for other in self._draw_others(state, MAX_CHECKED):
            condition = await other.path.check()
            if condition is endpoint_path.Condition.ACCEPTING:
                return True
        return not self._has_others(state)

    async def connects_to_another(self, state):
        """Tell whether this gateway itself connects to another endpoint.

        If there is no other, nothing tells against it.
        """
        for other in self._draw_others(state, MAX_CONNECTED):
            try:
                stream = await other.path.connect_directly()
            except (OSError, TimeoutError):
                continue
            stream.abort()
            return True
        return not self._has_others(state)

    def _has_others(self, state):
        return bool(
            self._fleet_view.endpoint_by_id.keys() - {state.endpoint.id}
        )

    def _draw_others(self, state, count):
        """Return other endpoints that were not absent when last tried."""
        others = [
            endpoint
            for endpoint in self._fleet_view.endpoint_by_id.values()
            if endpoint.id != state.endpoint.id
        ]
        now = self._now()
        drawn = random.sample(others, min(MAX_DRAWN, len(others)))
        states = [self.state(endpoint) for endpoint in drawn]
        return [s for s in states if not s.health.is_absent(now)][:count]

    def service(self, name):
        """Return the configured service of this name, or ``None``."""
        return self._fleet_view.configuration.service_by_name.get(name)

    @property
    def has_customers(self):
        """Tell whether the configuration in force names customers."""
        configuration = self._fleet_view.configuration
        return (
            configuration is not None
            and configuration.customer_by_key is not None
        )

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
            self.state(endpoint).cache.use(parts, self.capacity(endpoint))
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
        state.cache.use(parts, self.capacity(state.endpoint))
        # The last part is specific to this request.
        shared = parts[:-1]
        self._changes.record_shared(shared)
        self._prefills.append((state.endpoint.id, shared))
        self.cache_holders.record(state.endpoint.id, shared)

    def record_fetch(self, state, prompt):
        """Record that an engine fetched the KV cache of a prompt."""
        parts = [(part.id, part.tokens) for part in prompt.parts]
        state.cache.use(parts, self.capacity(state.endpoint))
        self._prefills.append((state.endpoint.id, parts[:-1]))

    def capacity(self, endpoint):
        """Return the tokens for which an engine has memory, 0 if unknown."""
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
            if not state.streams and not state.jobs:
                continue
            own = state.own_work()
            if not self.speeds.is_reporting(state.endpoint.service):
                # Nobody bounds what such engines hold.
                own = own._replace(tokens=0)
            work[state.endpoint.id] = own
        return work

    def prompt_ms(self, service):
        """Return the predicted time of all prompts ever sent to a service."""
        return self._prompt_ms_of_removed[service] + sum(
            state.prompt_ms
            for state in self._state_by_incarnation.values()
            if state.endpoint.service == service
        )

    def streams(self, service):
        """Return how many answers of a service are being generated."""
        return sum(
            state.streams
            for state in self._state_by_incarnation.values()
            if state.endpoint.service == service
        )

    def check_paths(self):
        """Check the paths of the endpoints that this gateway works with.

        Where one is cut, others may be, and their requests would find out one
        by one.
        """
        for state in self._state_by_incarnation.values():
            state.check_path_if_connected()

    def at_address(self, address):
        """Return the state of the endpoint at ``address``, or ``None``."""
        for endpoint in self._fleet_view.endpoint_by_id.values():
            if endpoint.address == address:
                return self.state(endpoint)
        return None

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
                state.check_path_if_silent()
                continue
            state.close_links()
            if state.missing_since is None:
                state.missing_since = self._now()
            if self._is_forgotten(state):
                del self._state_by_incarnation[incarnation]
                service = state.endpoint.service
                self._prompt_ms_of_removed[service] += state.prompt_ms
                _log.info("endpoint state removed", endpoint=state.endpoint.id)
        self.speeds.keep(self._state_by_incarnation.keys())

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
