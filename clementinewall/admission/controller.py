"""Admits model requests while the engines can't serve all in time."""

import collections
import random
import zlib

from clementinewall.admission import recent
from clementinewall.admission import returns
from clementinewall.admission import sizes
from clementinewall import errors
from clementinewall.gateway import exchange as exchanges
from clementinewall import logs
from clementinewall import metrics
from clementinewall.policy import placement
from clementinewall.policy import room

_log = logs.PartLog("stream")

# Key of the counts in the messages to the cell.
MESSAGE_KEY = "room"
# State is sent up to each few ms; the counts change slowly and are large.
REPORT_INTERVAL_MS = 250


class Admission:
    """Decides by what this gateway and its cell lately admitted."""

    def __init__(self, now, chance=random.random):
        """Start without requests; ``chance()`` is from 0 to 1."""
        self._now = now
        self._chance = chance
        self._reported_at = now() - REPORT_INTERVAL_MS
        self._recent = recent.Recent(now)
        self._returns = returns.Returns(now)
        self._sizes_by_route = collections.defaultdict(sizes.Sizes)

    def admit(self, exchange, options, late_options):
        """Return the placement options by which to serve a request.

        ``options`` are those that the placement found, and ``late_options()``
        returns those of a request behind all that are served in time.

        :raises Overloaded: it is refused.
        """
        chosen = options.chosen
        is_refused = isinstance(chosen, placement.Refusal)
        best = chosen.best if is_refused else chosen
        group = _group(exchange)
        key = _key(exchange, group.owner)
        is_return = self._returns.is_return(key)
        route_sizes = self._sizes_by_route[exchange.route.name]
        tokens = options.demand.tokens
        load = self._recent.load(group.service)
        slack_ms = _slack_ms(options.demand, best) if best else 0.0
        # Placement accepts short prompts late, however many there are.
        is_in_time = not is_refused and slack_ms >= 0
        request = room.Request(
            first_ms=best.first_ms if best else None,
            wait_ms=best.wait_ms if best else 0.0,
            is_in_time=is_in_time,
            left_ms=options.demand.left_ms,
            deadline_ms=exchange.left_ms,
            room_ms=_room_ms(options),
            priority=group.priority,
            standing=self._recent.standing(group),
            slack_ms=slack_ms,
            is_return=is_return is True,
            is_repeat=is_return is False,
            is_large_underserved=route_sizes.is_underserved(tokens),
        )
        decision = room.decide(request, load, self._chance(), self._chance())
        if decision.action != room.REFUSE and is_refused:
            options = options._replace(chosen=best)
        if decision.action == room.SERVE_LATE and decision.reason == "late":
            late = _behind_others(late_options())
            if late is None or not room.is_late_in_time(request, late.chosen):
                decision = room.refuse(
                    request, load, "no time", self._chance()
                )
            else:
                options = late
        is_admitted = decision.action != room.REFUSE
        # Nothing is lacking where an idle engine takes too long.
        is_lacking = not is_in_time and (best is None or best.wait_ms > 0)
        self._recent.record(group, is_admitted, is_lacking, is_return is None)
        if not request.is_repeat:
            route_sizes.record(tokens, is_admitted)
        metrics.count("admissions", reason=decision.reason)
        if is_admitted:
            self._returns.record_admission(key)
            return options
        # The answer's Retry-After is bounded by the deadline in the same way.
        retry_ms = min(
            decision.retry_ms,
            exchange.left_ms * exchanges.RETRY_AFTER_FRACTION,
        )
        self._returns.record_refusal(key, retry_ms)
        why = chosen.why if is_refused else decision.reason
        _log.info(
            "refused",
            request=exchange.call.attempt,
            route=exchange.route.name,
            why=why,
            reason=decision.reason,
            owner=group.owner,
            priority=group.priority,
            first_ms=round(best.first_ms) if best else None,
            wait_ms=round(best.wait_ms) if best else None,
            left_ms=round(options.demand.left_ms),
            tokens=tokens,
            pressure=round(load.pressure, 2),
            retry_ms=round(retry_ms),
        )
        metrics.count("refused", route=exchange.route.name)
        raise errors.Overloaded(why, retry_after_ms=retry_ms)

    def admit_size(self, exchange, options):
        """Return the placement options by which to serve a request.

        Where nothing else is shared out, the placement alone decides; but too
        few prompts of a large size served make one of them served late.
        """
        tokens = options.demand.tokens
        route_sizes = self._sizes_by_route[exchange.route.name]
        chosen = options.chosen
        if isinstance(chosen, placement.Refusal):
            best = chosen.best
            if best is None:
                # Refused whatever its size.
                return options
            if (
                route_sizes.is_underserved(tokens)
                and best.first_ms
                <= exchange.left_ms * room.LATE_DEADLINE_FRACTION
            ):
                metrics.count("admissions", reason="large")
                options = options._replace(chosen=best)
        is_admitted = isinstance(options.chosen, placement.Option)
        route_sizes.record(tokens, is_admitted)
        return options

    def record_unserved(self, exchange):
        """Record that an admitted request has had no event."""
        if exchange.call.prompt is not None:
            route_sizes = self._sizes_by_route[exchange.route.name]
            route_sizes.withdraw(exchange.call.prompt.tokens_in)

    def message(self):
        """Return what the cell needs, or ``None`` if that is nothing now."""
        now = self._now()
        if now - self._reported_at < REPORT_INTERVAL_MS:
            return None
        self._reported_at = now
        return self._recent.report()

    def take(self, message, ip):
        """Take a peer's message, with or without counts.

        :raises AttributeError, TypeError, ValueError: if malformed.
        """
        data = message.get(MESSAGE_KEY)
        if data is not None:
            self._recent.take_report(ip, data)


def is_on(has_customers, states):
    """Tell whether requests of a service with these engines are subject.

    Elsewhere the placement alone decides.
    """
    return has_customers or any(
        state.load is not None and state.load.pace is not None
        for state in states
    )


def priority(exchange):
    """Return a request's priority, 0 the highest."""
    customer = exchange.call.customer
    if customer is not None and customer.priority is not None:
        return customer.priority
    return exchange.route.priority


def _group(exchange):
    customer = exchange.call.customer
    owner = f"@{exchange.caller_ip}" if customer is None else customer.name
    return recent.Group(exchange.service.name, owner, priority(exchange))


def _key(exchange, owner):
    """Return what a returning request has in common with the refused one."""
    prompt = exchange.call.prompt
    if prompt is None:
        return owner, exchange.route.name, zlib.crc32(exchange.call.body)
    last = prompt.parts[-1].id if prompt.parts else None
    return (
        owner,
        exchange.route.name,
        last,
        prompt.tokens_in,
        prompt.tokens_out,
    )


def _room_ms(options):
    """Return when there is room for a request that finds none now."""
    if isinstance(options.chosen, placement.Refusal):
        return options.chosen.retry_ms
    return max(placement.MIN_RETRY_MS, options.chosen.wait_ms)


def _slack_ms(demand, option):
    """Return how much longer an option may wait until it is late.

    Prompts that take longer than their target are measured by their wait.
    """
    own_time_ms = option.first_ms - option.wait_ms
    if own_time_ms > demand.goal_ms * placement.TARGET_FRACTION:
        limit_ms = demand.goal_ms * placement.LARGE_PROMPT_WAIT_FRACTION
        return limit_ms - option.wait_ms
    return demand.left_ms * placement.TARGET_FRACTION - option.first_ms


def _behind_others(options):
    """Return options with the best chosen, in time or not."""
    chosen = options.chosen
    if isinstance(chosen, placement.Refusal):
        if chosen.best is None:
            return None
        options = options._replace(chosen=chosen.best)
    return options
