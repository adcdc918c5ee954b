"""Chooses the engines for a request from this gateway's fleet view."""

import random
import typing

from clementinewall.admission import controller
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import endpoint_state
from clementinewall.gateway import endpoints as endpoints_module
from clementinewall.gateway import engine_views
from clementinewall.gateway import exchange as exchanges
from clementinewall import logs
from clementinewall.membership import isolation
from clementinewall import metrics
from clementinewall.policy import placement

_log = logs.PartLog("stream")

EMPTY_PROMPT = domain.Prompt("", 0, 0, ())
# Per stage; used when more than half of the engines of the cell are unusable.
MAX_OTHER_CELL_ENGINES = 2
# While all decode engines are unreachable, one request per interval tries one.
PROBE_INTERVAL_MS = 500


class Plan(typing.NamedTuple):
    """The engines chosen for one send of a request.

    ``prefill_engine`` is set if prefill and decode run on separate engines.
    ``source`` is the engine from which the prompt prefix is fetched,
    ``run_urgency`` the urgency at the engine that runs the request, and
    ``prefill_scale`` the factor applied to the predicted prefill time.
    """

    prefill_engine: endpoint_state.EndpointState | None
    decode_engine: endpoint_state.EndpointState
    option: placement.Option
    urgency: int
    source: endpoint_state.EndpointState | None = None
    run_urgency: int = placement.URGENCY_NORMAL
    prefill_scale: float = 1.0

    def engine(self, endpoint_id):
        """Return the engine of this id, as it was when it was chosen."""
        prefill_engine = self.prefill_engine
        if prefill_engine and prefill_engine.endpoint.id == endpoint_id:
            return prefill_engine
        return self.decode_engine

    def use_shares(self):
        """Count a request at each engine, for the limits that they named."""
        self.decode_engine.use_share()
        if self.prefill_engine is not None:
            self.prefill_engine.use_share()

    @property
    def measures_prefill_speed(self):
        """Tell whether only the engine's speed determines the prefill time."""
        is_alone = not self.option.wait_ms and self.source is None
        return is_alone and self.prefill_engine is not None

    @property
    def unscaled_prefill_ms(self):
        """Return the predicted prefill time without the scale."""
        return self.option.prompt_ms / self.prefill_scale


class Options(typing.NamedTuple):
    """The engines that are left for a request, by id, and the best of them."""

    demand: placement.Demand
    state_by_id: dict[str, endpoint_state.EndpointState]
    known: list[placement.Engine]
    chosen: placement.Option | placement.Refusal
    urgency: int
    # Whether admission control applies.
    is_shared: bool


class Placer:
    """Chooses engines for model requests."""

    def __init__(
        self, settings, endpoints, peers, cell_membership, now, admission=None
    ):
        """Use the known engines and the work that peers announced there."""
        self._admission = admission or controller.Admission(now)
        self._link_mbps = settings.link_mbps
        self._endpoints = endpoints
        self._peers = peers
        self._cell_membership = cell_membership
        self._now = now
        self._probed_at = None

    def place(self, exchange, last):
        """Choose the engines.

        ``last`` is the failure of the previous send, ``None`` at the first.

        :raises Overloaded: the request cannot be served in time.
        :raises ClementinewallError: no further send can serve the request.
        """
        is_probe = self._may_probe()
        options = self._options(exchange, is_probe, may_repeat=True)
        self._record_probe(options.known, options.chosen)
        is_begun = last is not None or exchange.call.takes_up
        if not is_begun:
            options = self._admit(exchange, options, is_probe)
        demand, states, known, chosen, urgency, _ = options
        if isinstance(chosen, placement.Refusal):
            if not is_begun or not _is_worth_serving_late(chosen, exchange):
                self._refuse(exchange, demand, chosen, last)
            chosen = chosen.best
        _log.info(
            "placed",
            request=exchange.call.attempt,
            route=exchange.route.name,
            prefill=chosen.prefill,
            decode=chosen.decode,
            urgency=urgency,
            first_ms=round(chosen.first_ms),
            wait_ms=round(chosen.wait_ms),
            prompt_ms=round(chosen.prompt_ms),
            cached=chosen.cached,
            fetch=chosen.fetch,
            tokens=demand.tokens,
            tokens_out=demand.tokens_out,
            left_ms=round(demand.left_ms),
            scale=round(demand.prefill_scale, 2),
            relative=round(chosen.relative_time, 2),
            pace=round(chosen.pace, 2),
        )
        prefill_engine = states.get(chosen.prefill)
        source = chosen.fetch and self._endpoints.find(chosen.fetch)
        decode_view = next(e for e in known if e.id == chosen.decode)
        return Plan(
            prefill_engine,
            states[chosen.decode],
            chosen,
            urgency,
            source,
            placement.decode_urgency(decode_view, urgency),
            demand.prefill_scale,
        )

    def _admit(self, exchange, options, is_probe):
        """Return the options by which a new request is served, or refused."""
        if not options.is_shared:
            return self._admission.admit_size(exchange, options)
        return self._admission.admit(
            exchange,
            options,
            lambda: self._options(
                exchange, is_probe, urgency=placement.URGENCY_LATE
            ),
        )

    def record_unserved(self, exchange):
        """Record that a request that was placed has had no event."""
        if not exchange.call.takes_up:
            self._admission.record_unserved(exchange)

    def can_place_again(self, exchange, left_id=None):
        """Tell whether responsive engines could take the request over now.

        ``left_id`` is an engine that would not be used again.
        """
        options = self._options(exchange, False, {left_id})
        chosen = options.chosen
        if isinstance(chosen, placement.Refusal):
            if not _is_worth_serving_late(chosen, exchange):
                return False
            chosen = chosen.best
        engine_ids = filter(None, (chosen.prefill, chosen.decode))
        return all(options.state_by_id[id_].is_usable() for id_ in engine_ids)

    def _options(
        self,
        exchange,
        is_probe,
        excluded_ids=frozenset(),
        may_repeat=False,
        urgency=None,
    ):
        """Return the engines that are left for the request, and the best.

        ``may_repeat`` lets a stream go on at an engine that broke it off, if
        no other engine of its version decodes.
        """
        excluded_ids = exchange.tried_ids | excluded_ids
        peers = self._peers.table.states()
        demand = self._demand(exchange, peers, is_probe)
        engines = [
            state
            for state in self._endpoints.of_service(exchange.service.name)
            if endpoints_module.is_engine(state)
            and _may_go_on(state, exchange.version)
        ]
        candidates = [
            state
            for state in self._candidates(engines, exchange.version)
            if not state.path.is_unreached
        ]
        states = {
            state.endpoint.id: state
            for state in candidates
            if state.endpoint.id not in excluded_ids
        }
        if exchange.suspect is not None:
            states = isolation.isolated(states, engines, exchange)
        elif may_repeat and exchange.version is not None:
            if not any(_decodes(state) for state in states.values()):
                states |= {
                    state.endpoint.id: state
                    for state in candidates
                    if _decodes(state) and not state.is_unavailable()
                }
        prompt = exchange.call.prompt or EMPTY_PROMPT
        cached = max(
            (
                s.cache.cached_prefix_tokens(prompt.parts[:-1])
                for s in states.values()
            ),
            default=0,
        )
        is_shared = controller.is_on(self._endpoints.has_customers, engines)
        if urgency is None:
            urgency = placement.prefill_urgency(
                demand,
                cached,
                controller.priority(exchange) if is_shared else 0,
            )
        speeds = self._endpoints.speeds.of_reporting(candidates)
        known = engine_views.views(
            states.values(),
            prompt,
            urgency,
            peers,
            speeds,
            demand.prefill_scale,
            exchange.service.engine.kv_tokens,
            self._now(),
        )
        holder = self._cache_holder(prompt, states)
        draw = random.choices if speeds else None
        chosen = placement.choose(known, demand, holder, draw)
        return Options(demand, states, known, chosen, urgency, is_shared)

    def _candidates(self, engines, version):
        """Return the engines of the cell, and others if most of these fail.

        When many engines crash at once, a cell may have no usable engine of
        a stage while other cells have headroom.  The work in other cells is
        unknown here, so engines are drawn from them at random; so are those
        for a stream whose ``version`` no engine of the cell has.
        """
        close = self._cell_membership.cell_engines(engines, version is None)
        found = list(close)
        for stage in domain.STAGES:
            in_cell = [s for s in close if s.endpoint.stage == stage]
            is_missing = version is not None and not in_cell
            usable = sum(s.is_usable() for s in in_cell)
            if usable * 2 >= len(in_cell) and not is_missing:
                continue
            others = [
                state
                for state in engines
                if state.endpoint.stage == stage
                and state not in close
                and state.is_usable()
            ]
            found += random.sample(
                others, min(MAX_OTHER_CELL_ENGINES, len(others))
            )
        return found

    def _cache_holder(self, prompt, states):
        """Return a cache holder of the prompt prefix outside the cell."""
        holder = self._endpoints.cache_holders.find(prompt.parts[:-1])
        if holder is None or holder.endpoint_id in states:
            return None
        state = self._endpoints.find(holder.endpoint_id)
        if state is None or not state.is_usable():
            return None
        return placement.CacheHolder(holder.endpoint_id, holder.tokens)

    def _demand(self, exchange, peers, is_probe):
        prompt = exchange.call.prompt or EMPTY_PROMPT
        limits = exchange.service.engine
        return placement.Demand(
            tokens=prompt.tokens_in,
            left_ms=exchange.route.goal_ms - exchange.waited_ms,
            goal_ms=exchange.route.goal_ms,
            token_bytes=limits.kv_token_bytes,
            link_mbps=limits.link_mbps,
            tokens_out=prompt.tokens_out,
            send_ms=self._transfer_ms(exchange.call.body),
            is_probe=is_probe,
            prefill_scale=self._endpoints.scales.scale(
                exchange.service.name,
                [peer.estimate_by_service for peer in peers],
            ),
        )

    def _may_probe(self):
        return (
            self._probed_at is None
            or self._now() - self._probed_at >= PROBE_INTERVAL_MS
        )

    def _record_probe(self, known, chosen):
        """Record the time if the request probes an unreachable engine."""
        unreachable = {engine.id for engine in known if engine.unreachable}
        if (
            isinstance(chosen, placement.Option)
            and chosen.decode in unreachable
        ):
            self._probed_at = self._now()

    def _transfer_ms(self, body):
        """Return the time to send ``body`` over this instance's link."""
        if not self._link_mbps:
            return 0.0
        return len(body) * 8 / (self._link_mbps * 1_000)

    def _refuse(self, exchange, demand, refusal, last):
        best = refusal.best
        _log.info(
            "refused",
            request=exchange.call.attempt,
            route=exchange.route.name,
            why=refusal.why,
            first_ms=round(best.first_ms) if best else None,
            wait_ms=round(best.wait_ms) if best else None,
            left_ms=round(demand.left_ms),
            tokens=demand.tokens,
            version=exchange.version,
        )
        metrics.count("refused", route=exchange.route.name)
        if exchange.version is not None and best is None and last is None:
            raise errors.NoEngineOfVersion(
                f"no engine of version {exchange.version} takes the stream",
                retry_after_ms=exchanges.spread_retry_ms(refusal.retry_ms),
            )
        if last is not None and not refusal.all_rest:
            raise exchanges.final_error(exchange, last.why)
        retry_ms = exchanges.spread_retry_ms(refusal.retry_ms)
        if last is not None:
            raise exchanges.final_error(exchange, last.why, retry_ms)
        raise errors.Overloaded(refusal.why, retry_after_ms=retry_ms)


def _decodes(state):
    return state.endpoint.stage == domain.DECODE


def _may_go_on(state, version):
    """Tell whether a stream of a version may go on at an engine.

    ``None`` stands for a stream that has no event yet.
    """
    if version is None or not _decodes(state):
        return True
    return state.endpoint.version == version


def _is_worth_serving_late(refusal, exchange):
    """Tell whether to send again although the first event misses its target.

    The earlier send has already cost engine time, and a stream that breaks
    off is worth less to its caller than one that pauses.
    """
    best = refusal.best
    return best is not None and best.first_ms < exchange.left_ms
