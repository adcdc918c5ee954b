"""Orders engines, as the gateway that has the duties."""

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import duty_calls
from clementinewall.policy import fleet_size
from clementinewall.scaling import limits as limits_module

_log = logs.PartLog("scale")

POLL_INTERVAL_MS = 1_000
# Samples have to be there for so long before the first order.
MIN_SAMPLES_MS = 3_000
# Where none was to be had, it is asked for again after this time.
UNAVAILABLE_MS = 5_000
# Between two reductions of one kind: the effect of the first has to show.
FALL_INTERVAL_MS = 2_000
# Longer than engines take to appear, whatever else they wait for.
SETTLING_MARGIN_MS = 3_000
# Fewer gateways than this part of those that are heard tell too little.
MIN_HEARD_FRACTION = 0.5


class Scaler:
    """Keeps the number of engines of each scaled service."""

    def __init__(
        self, fleet_view, holder, client, board, live_ips, now, limits=None
    ):
        """Order by ``client`` while ``holder`` acts.

        ``board`` has the loads, ``live_ips()`` the gateways that are heard,
        ``limits`` the operator's bounds by service.
        """
        self._fleet_view = fleet_view
        self._holder = holder
        self._client = client
        self._board = board
        self._live_ips = live_ips
        self._now = now
        self._limits_by_service = limits or {}
        self._acting_since = None
        # Numbers ordered, with the time, by service and kind.
        self._ordered = {}
        self._missing_until = {}
        self._fallen_at = {}
        self._logged_plan_by_service = {}
        # The most engines since this gateway began to act, while it doesn't
        # know the load.
        self._size_by_service = {}

    async def run(self):
        """Poll until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))

    async def poll(self):
        """Record the load; order what is needed, if this gateway acts."""
        configuration = self._fleet_view.configuration
        if configuration is None:
            return
        now = self._now()
        scaled = [
            service
            for service in configuration.service_by_name.values()
            if service.scale is not None
        ]
        for service in scaled:
            self._board.record(service.name, len(self._live_ips()))
        if not scaled:
            return
        if not self._holder.is_acting() and not await self._holder.ensure():
            # What another gateway orders meanwhile isn't known here.
            self._acting_since = None
            self._ordered.clear()
            self._size_by_service.clear()
            return
        if self._acting_since is None:
            self._acting_since = now
        if not self._fleet_view.is_current:
            return
        for service in scaled:
            with containment.contained(
                _log, "an order of engines", service=service.name
            ):
                if self._is_known(service, now):
                    await self._adjust(service, now)

    def _is_known(self, service, now):
        """Return whether enough is known of the load."""
        loads = self._board.loads(service.name)
        heard = self._board.heard(service.name)
        return (
            bool(loads)
            and now - loads[0].at >= MIN_SAMPLES_MS
            and heard >= MIN_HEARD_FRACTION * len(self._live_ips())
        )

    async def _adjust(self, service, now):
        engines = self._engines(service)
        if not engines:
            return
        range_ = self._range(service)
        slots = min(engine.slots for engine in engines)
        loads = self._board.loads(service.name)
        wanted = fleet_size.needed(loads, slots, range_, now)
        is_load_known = fleet_size.may_fall(loads, now)
        if not is_load_known:
            # Until then all engines are kept, also those that an earlier
            # holder ordered and that come later.
            found = max(
                self._size_by_service.get(service.name, 0), len(engines)
            )
            self._size_by_service[service.name] = found
            wanted = max(found, wanted or 0)
        missing = {
            kind
            for (name, kind), until in self._missing_until.items()
            if name == service.name and now < until
        }
        plan = fleet_size.plan(wanted, engines, range_, missing)
        self._log_plan(service, plan, engines, is_load_known)
        for kind, count in sorted(plan.count_by_kind.items()):
            if kind in missing:
                continue
            if self._is_due(service, kind, count, engines, now):
                await self._order(service, kind, count, plan, now)

    def _engines(self, service):
        return [
            fleet_size.Engine(
                endpoint.data_centre,
                endpoint.is_spot,
                endpoint.slots,
            )
            for endpoint in self._fleet_view.endpoint_by_id.values()
            if endpoint.service == service.name and not endpoint.draining
        ]

    def _range(self, service):
        scale = service.scale
        limits = self._limits_by_service.get(
            service.name, limits_module.Limits()
        )
        prices = scale.price_by_data_centre or {
            endpoint.data_centre: 1.0
            for endpoint in self._fleet_view.endpoint_by_id.values()
            if endpoint.service == service.name
        }
        return fleet_size.Range(
            scale.min,
            scale.max,
            prices,
            scale.spot_price,
            scale.boot_ms,
            limits.least,
            limits.most,
        )

    def _is_due(self, service, kind, count, engines, now):
        """Return whether a kind has to be ordered now."""
        present = sum((e.data_centre, e.is_spot) == kind for e in engines)
        ordered, ordered_at = self._ordered.get(
            (service.name, kind), (present, None)
        )
        if ordered_at is not None and ordered == count:
            # Engines of the order may not have come, or were taken back.
            settling_ms = service.scale.boot_ms + SETTLING_MARGIN_MS
            return present != count and now - ordered_at >= settling_ms
        if count > ordered:
            return True
        fallen_at = self._fallen_at.get((service.name, kind))
        is_settled = fallen_at is None or now - fallen_at >= FALL_INTERVAL_MS
        return count < ordered and is_settled

    async def _order(self, service, kind, count, plan, now):
        outcome = await self._client.send(
            duty_calls.scale_order(
                service.name, kind.data_centre, count, kind.is_spot
            )
        )
        metrics.count("scale_orders", outcome=outcome.value)
        _log.info(
            "engines ordered",
            service=service.name,
            data_centre=kind.data_centre,
            spot=kind.is_spot,
            wanted=count,
            needed=plan.needed,
            why=plan.why,
            outcome=outcome.value,
        )
        key = service.name, kind
        if outcome is duty_calls.Outcome.NONE_AVAILABLE:
            self._missing_until[key] = now + UNAVAILABLE_MS
            return
        if outcome is not duty_calls.Outcome.ACCEPTED:
            # The order may have been carried out; the same one is sent again.
            return
        ordered = self._ordered.get(key, (None, None))[0]
        if ordered is None or count < ordered:
            self._fallen_at[key] = now
        self._ordered[key] = (count, now)

    def _log_plan(self, service, plan, engines, is_load_known):
        """Log a plan that differs from the last one."""
        metrics.gauge("engines_wanted", plan.needed, service=service.name)
        metrics.gauge("engines_present", len(engines), service=service.name)
        if self._logged_plan_by_service.get(service.name) == plan:
            return
        self._logged_plan_by_service[service.name] = plan
        loads = self._board.loads(service.name)
        _log.info(
            "engines wanted",
            service=service.name,
            needed=plan.needed,
            present=len(engines),
            why=plan.why if is_load_known else "load not known",
            prompt_ms=round(loads[-1].prompt_ms),
            streams=round(loads[-1].streams),
            counts={
                f"{kind.data_centre}{'/spot' if kind.is_spot else ''}": count
                for kind, count in plan.count_by_kind.items()
            },
        )
