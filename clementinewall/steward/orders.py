"""Sending orders to endpoints so that lapsed authority has no effect.

Endpoints that check fencing tokens get the order directly: whatever is late
carries an old token and is refused.  Endpoints that ignore tokens can't
protect themselves, so their orders pass a second steward, which checks the
claim for itself before it writes.  A holder that was paused after its own
check finds its order refused there.  What remains: holder and second steward
both paused, the latter between its check and its write, until a third
process has taken the scope over.
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
# After the second steward gave no answer, its write may still come.  No
# other order goes to that endpoint until it answers or is gone this long.
IN_DOUBT_MS = 60_000
SECOND_TIMEOUT_FACTOR = 2


class Order(typing.NamedTuple):
    """An order for an endpoint; the fence is the claim's offset."""

    endpoint: str
    scope: str
    fence: int
    kind: typing.Annotated[
        str, _schema.OneOf(("quiesce", "resume", "set_role", "load"))
    ]
    value: str = ""


class _Doubt(typing.NamedTuple):
    second: str
    boot: str
    since: int


class OrderSender:
    """Owns the connections for orders; one per steward."""

    def __init__(self, node, lease_manager):
        """Use the node's members and the leases of the lease manager."""
        self._node = node
        self._lease_manager = lease_manager
        leases = node.settings.leases
        self._timeout = clock.seconds(leases.order_timeout_ms)
        self._http = _http.client(
            leases.order_timeout_ms, keeps_connections=False
        )
        self._doubt_by_endpoint = {}

    def routes(self):
        """Return the route by which other stewards ask for the check."""
        return [routing.Route(PATH, self._on_order, methods=["POST"])]

    async def send(self, scope, endpoint_id, kind, value=""):
        """Send an order under the own lease.

        :raises LeaseLost: nothing was sent.
        :raises OrderRefused: the endpoint or the second check refused it.
        :raises EndpointFailed: with the verdict for where it broke.
        """
        endpoint = self._node.view.endpoints_by_id[endpoint_id]
        if not self._lease_manager.holds(scope):
            raise errors.LeaseLost(f"the lease on {scope} runs out")
        fence = self._lease_manager.table.fence(scope)
        order = Order(endpoint_id, scope, fence, kind, value)
        self._check_doubt(endpoint_id)
        self._pause_if_asked()
        if endpoint.fencing == "checked" or self._is_second_check_off():
            await self._write(order)
        else:
            await self._by_second(order)
        _log.info(
            "sent",
            endpoint=endpoint_id,
            order=kind,
            value=value or "-",
            fence=fence,
        )

    def _is_second_check_off(self):
        return self._node.settings.faults.without_second_check

    def _pause_if_asked(self):
        pause = self._node.settings.faults.block_before_order_ms
        if pause:
            # For the proofs only: stop the whole process here, as a stopped
            # machine would, between the check of the lease and the write.
            _log.warning("blocked on purpose", ms=pause)
            time.sleep(clock.seconds(pause))

    def _check_doubt(self, endpoint_id):
        doubt = self._doubt_by_endpoint.get(endpoint_id)
        if doubt is None:
            return
        is_back = any(
            row.id == doubt.second and row.boot != doubt.boot
            for row in self._node.members.live()
        )
        waited = self._node.clock.now() - doubt.since
        if is_back or waited > IN_DOUBT_MS:
            del self._doubt_by_endpoint[endpoint_id]
            return
        raise errors.OrderRefused(
            f"an order for {endpoint_id} is still open at {doubt.second}"
        )

    async def _by_second(self, order):
        second = self._second_for(order.endpoint)
        token = self._node.settings.security.control_token
        try:
            answer = await self._http.post(
                f"http://{second.control}{PATH}",
                json=_schema.plain(order),
                headers={"Authorization": f"Bearer {token}"},
                timeout=self._timeout * SECOND_TIMEOUT_FACTOR,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise errors.EndpointFailed(
                f"{second.id} is out of reach", verdicts.Verdict.NOT_RUN
            ) from exc
        except httpx.HTTPError as exc:
            self._doubt_by_endpoint[order.endpoint] = _Doubt(
                second.id, second.boot, self._node.clock.now()
            )
            raise errors.EndpointFailed(
                f"{second.id}: {type(exc).__name__}"
            ) from exc
        if answer.status_code != 200:
            error = _web.error_of_problem(answer.content)
            raise error or errors.EndpointFailed(f"{second.id}: no answer")

    def _second_for(self, endpoint_id):
        rows = {
            row.id: row
            for row in self._node.members.live("steward")
            if row.id != self._node.id and row.state == "live"
        }
        if not rows:
            raise errors.OrderRefused(
                "no second steward is there to check the order"
            )
        return rows[members.rendezvous(endpoint_id, list(rows))[0]]

    async def _on_order(self, request):
        """Check another steward's order for ourselves, then write it."""
        self._node.check(request)
        body = await _web.read_json(request, self._node.settings.limits)
        order, mistakes = _schema.build(Order, body)
        if mistakes:
            raise errors.BadRecord(str(mistakes[0]))
        if order.endpoint not in self._node.view.endpoints_by_id:
            raise errors.BadRecord(f"no endpoint {order.endpoint!r}")
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
                f"the claim {order.fence} on {order.scope} is not current"
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
                f"{order.endpoint} is out of reach", verdicts.Verdict.NOT_RUN
            ) from exc
        except (httpx.HTTPError, TimeoutError) as exc:
            raise errors.EndpointFailed(
                f"{order.endpoint}: {type(exc).__name__}"
            ) from exc
        if answer.status_code == 409:
            raise errors.OrderRefused(f"{order.endpoint} holds a newer fence")
        if answer.status_code != 200:
            raise errors.EndpointFailed(
                f"{order.endpoint}: {answer.status_code}"
            )
