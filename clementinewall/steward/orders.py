"""Orders to endpoints, sent so that an expired lease has no effect.

Endpoints that check fencing tokens get the order directly: a late order
carries an old token and is refused.  Endpoints that ignore tokens cannot
protect themselves, so their orders go through a second steward, the
checker, which verifies the claim itself before it writes.  The order of a
holder that was paused after its own check is refused there.  One race
remains: holder and checker are both paused, the checker between its check
and its write, until a third process has taken over the scope.
"""

import time
import typing

import anyio
import httpx
from starlette import responses
from starlette import routing

from clementinewall import _http
from clementinewall import _schema
from clementinewall import _web
from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import members
from clementinewall import verdicts

_log = logs.PartLog("order")

PATH = "/control/order"
# A checker that gave no answer may still write its order.  The endpoint gets
# no other order until the checker has restarted or this time has passed.
UNANSWERED_HOLD_MS = 60_000
CHECKER_TIMEOUT_FACTOR = 2


class Order(typing.NamedTuple):
    """An order for an endpoint; the fence is the claim's offset."""

    endpoint: str
    scope: str
    fence: int
    kind: typing.Annotated[
        str, _schema.OneOf(("quiesce", "resume", "set_role", "load"))
    ]
    value: str = ""


class _UnansweredOrder(typing.NamedTuple):
    checker: str
    boot: str
    since: int


class OrderSender:
    """Sends orders and checks those of other stewards."""

    def __init__(self, node, lease_manager):
        """Use the node's members and leases; one sender per steward."""
        self._node = node
        self._lease_manager = lease_manager
        leases = node.settings.leases
        self._timeout = clock.seconds(leases.order_timeout_ms)
        self._http = _http.client(
            leases.order_timeout_ms, keeps_connections=False
        )
        self._unanswered_by_endpoint = {}

    def routes(self):
        """Return the route on which other stewards submit their orders."""
        return [routing.Route(PATH, self._on_order, methods=["POST"])]

    async def send(self, scope, endpoint_id, kind, value=""):
        """Send an order under this process's lease.

        :raises LeaseLost: nothing was sent.
        :raises OrderRefused: the endpoint or the checker refused it.
        :raises EndpointFailed: with a verdict on whether it may have run.
        """
        endpoint = self._node.view.endpoints_by_id[endpoint_id]
        if not self._lease_manager.holds(scope):
            raise errors.LeaseLost(
                f"the lease on {scope} is too short for an order; none sent"
            )
        fence = self._lease_manager.table.fence(scope)
        order = Order(endpoint_id, scope, fence, kind, value)
        self._check_unanswered(endpoint_id)
        self._block_if_configured()
        if endpoint.fencing == "checked" or self._is_second_check_off():
            await self._write(order)
        else:
            await self._send_through_checker(order)
        _log.info(
            "sent",
            endpoint=endpoint_id,
            order=kind,
            value=value or "-",
            fence=fence,
        )

    def _is_second_check_off(self):
        return self._node.settings.faults.without_second_check

    def _block_if_configured(self):
        pause = self._node.settings.faults.block_before_order_ms
        if pause:
            # Fault injection: blocks the whole process, as a paused machine
            # would, between the lease check and the write.
            _log.warning("blocked on purpose", ms=pause)
            time.sleep(clock.seconds(pause))

    def _check_unanswered(self, endpoint_id):
        unanswered = self._unanswered_by_endpoint.get(endpoint_id)
        if unanswered is None:
            return
        is_restarted = any(
            row.id == unanswered.checker and row.boot != unanswered.boot
            for row in self._node.members.live()
        )
        waited = self._node.clock.now() - unanswered.since
        if is_restarted or waited > UNANSWERED_HOLD_MS:
            del self._unanswered_by_endpoint[endpoint_id]
            return
        raise errors.OrderRefused(
            f"an earlier order for {endpoint_id} is still unanswered by "
            f"{unanswered.checker}"
        )

    async def _send_through_checker(self, order):
        checker = self._checker_for(order.endpoint)
        token = self._node.settings.security.control_token
        try:
            answer = await self._http.post(
                f"http://{checker.control}{PATH}",
                json=_schema.plain(order),
                headers={"Authorization": f"Bearer {token}"},
                timeout=self._timeout * CHECKER_TIMEOUT_FACTOR,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise errors.EndpointFailed(
                f"checker {checker.id} is unreachable; order not sent",
                verdicts.Verdict.NOT_RUN,
            ) from exc
        except httpx.HTTPError as exc:
            self._unanswered_by_endpoint[order.endpoint] = _UnansweredOrder(
                checker.id, checker.boot, self._node.clock.now()
            )
            raise errors.EndpointFailed(
                f"checker {checker.id} failed: {type(exc).__name__}"
            ) from exc
        if answer.status_code != 200:
            error = _web.error_of_problem(answer.content)
            raise error or errors.EndpointFailed(
                f"checker {checker.id} gave no valid answer"
            )

    def _checker_for(self, endpoint_id):
        rows = {
            row.id: row
            for row in self._node.members.live("steward")
            if row.id != self._node.id and row.state == "live"
        }
        if not rows:
            raise errors.OrderRefused(
                "no other live steward can check the order"
            )
        return rows[members.rendezvous(endpoint_id, list(rows))[0]]

    async def _on_order(self, request):
        """Check another steward's order against the log, then write it."""
        self._node.require_token(request)
        body = await _web.read_json(request, self._node.settings.limits)
        order, mistakes = _schema.build(Order, body)
        if mistakes:
            raise errors.BadRecord(str(mistakes[0]))
        if order.endpoint not in self._node.view.endpoints_by_id:
            raise errors.BadRecord(f"unknown endpoint {order.endpoint!r}")
        table = self._lease_manager.table
        table.observe(self._node.tail.state)
        if not table.is_current(order.scope, order.fence):
            _log.warning(
                "refused an order without authority",
                endpoint=order.endpoint,
                order=order.kind,
                fence=order.fence,
            )
            raise errors.OrderRefused(
                f"the claim at {order.fence} on {order.scope} is not current"
            )
        await self._write(order)
        return responses.JSONResponse({})

    async def _write(self, order):
        endpoint = self._node.view.endpoints_by_id[order.endpoint]
        body = {
            "fence": order.fence,
            "kind": order.kind,
            "value": order.value,
            "by": self._node.id,
        }
        url = f"http://{endpoint.address}/orders"
        try:
            with anyio.fail_after(self._timeout):
                answer = await self._http.post(url, json=body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise errors.EndpointFailed(
                f"{order.endpoint} is unreachable; order not sent",
                verdicts.Verdict.NOT_RUN,
            ) from exc
        except (httpx.HTTPError, TimeoutError) as exc:
            raise errors.EndpointFailed(
                f"order to {order.endpoint} failed: {type(exc).__name__}"
            ) from exc
        if answer.status_code == 409:
            raise errors.OrderRefused(
                f"{order.endpoint} has seen a newer fencing token"
            )
        if answer.status_code != 200:
            raise errors.EndpointFailed(
                f"{order.endpoint} answered {answer.status_code}"
            )
