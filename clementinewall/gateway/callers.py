"""Serves the connections of callers.

Each connection has a task.  When the caller disconnects while a request is
being served, the work for that request is cancelled.
"""

import random

import anyio
import h11

from clementinewall.access import authorization
from clementinewall.backpressure import holdings as holdings_module
from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import exchange as exchanges
from clementinewall.http1 import server
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls

_log = logs.PartLog("gateway")


class Callers:
    """Serves the callers' connections of this gateway."""

    def __init__(
        self,
        fleet_view,
        freshness,
        budgets,
        plain,
        streams,
        drain,
        now,
        holdings=None,
        request_bodies=None,
    ):
        """Dispatch requests to the relays ``plain`` and ``streams``.

        ``freshness`` tells whether keys are known, ``drain`` decides which
        requests can be finished before the process stops, ``now`` returns the
        time in ms, ``holdings`` bound what is held for callers, and
        ``request_bodies`` what they send.
        """
        self._fleet_view = fleet_view
        self._freshness = freshness
        self._budgets = budgets
        self._plain = plain
        self._streams = streams
        self._now = now
        self._connections = set()
        self._drain = drain
        # Called with each call that an endpoint begins to run.
        self.count_begun = None
        self._is_reading_stopped = False
        self._scope_by_exchange = {}
        self._holdings = holdings
        self._bodies = request_bodies or holdings_module.RequestBodies(0, now)
        self.open_requests = 0

    def drain(self, left_ms):
        """Close each connection after its next answer, within ``left_ms``."""
        self._drain.begin(left_ms)
        for connection in self._connections:
            connection.close_after_answer()
        latest = anyio.current_time() + clock.seconds(left_ms)
        for exchange, scope in self._scope_by_exchange.items():
            exchange.end_within(left_ms)
            scope.deadline = min(scope.deadline, latest)

    def stop_reading(self):
        """Read no further request; close idle connections.

        Requests that were received before are refused.
        """
        self._is_reading_stopped = True
        for connection in self._connections:
            connection.stop_reading()

    def end_open_requests(self):
        """End the open requests now; their callers are answered."""
        for exchange, scope in self._scope_by_exchange.items():
            exchange.end_within(0)
            scope.cancel()

    @property
    def is_connected(self):
        """Tell whether any connection is open."""
        return bool(self._connections)

    @property
    def is_busy(self):
        """Tell whether a request is being served or received."""
        return self.open_requests or not all(
            c.is_idle for c in self._connections
        )

    async def serve(self, stream):
        """Serve one connection until it closes."""
        stream.holdings = self._holdings
        connection = server.Connection(stream, self._limits)
        self._connections.add(connection)
        if self._drain.is_on:
            connection.close_after_answer()
        if self._is_reading_stopped:
            connection.stop_reading()
        try:
            await self._serve_caller(connection)
        finally:
            self._connections.discard(connection)
            connection.close()

    def _limits(self):
        """Return the limits that hold for callers now."""
        return self._fleet_view.limits

    async def _serve_caller(self, connection):
        while True:
            try:
                request = await connection.read_request()
            except server.Refused as exc:
                await self._refuse_malformed(connection, exc)
                return
            if request is None:
                return
            self.open_requests += 1
            try:
                await self._serve_request(connection, request)
            except server.CallerDisconnected:
                return
            finally:
                self.open_requests -= 1
            if not connection.next_request():
                return

    async def _refuse_malformed(self, connection, refused):
        error = errors.BadRequest(refused.why)
        error.status = refused.status
        connection.close_after_answer()
        _log.info(
            "refused malformed request; closing the connection",
            status=refused.status,
            why=refused.why,
        )
        try:
            await connection.answer(*exchanges.problem(error))
        except server.CallerDisconnected:
            _log.debug("caller disconnected before the refusal was sent")
        except h11.LocalProtocolError as exc:
            _log.debug("refusal of a malformed request not sent", why=str(exc))

    async def _serve_request(self, connection, request):
        """Answer one request; cancel it if its caller disconnects."""
        with anyio.CancelScope() as scope:
            connection.set_close_callback(scope.cancel)
            try:
                await self._answer(connection, request)
            finally:
                connection.set_close_callback(None)
                connection.forget_answer()
        if scope.cancelled_caught:
            attempt = request.header(calls.ATTEMPT_HEADER) or b""
            _log.info("caller gone", request=attempt.decode("latin-1"))
            raise server.CallerDisconnected

    async def _answer(self, connection, request):
        exchange = None
        try:
            call = calls.decode(request)
            exchange = self._exchange(connection, call)
            with self._bodies.hold(exchange.service.name, len(call.body)):
                await self._run_with_deadline(exchange)
        except errors.ClementinewallError as exc:
            await self._fail(connection, request, exchange, exc)
        except server.CallerDisconnected:
            connection.close_after_answer()
        except Exception as exc:
            _log.error(
                "unexpected exception while serving a request", why=repr(exc)
            )
            logs.traceback(_log)
            error = errors.ClementinewallError("internal error")
            await self._fail(connection, request, exchange, error)

    def _exchange(self, connection, call):
        if self._is_reading_stopped:
            raise errors.Draining("this instance stops", retry_after_ms=0)
        configuration = self._fleet_view.configuration
        if configuration is None:
            raise errors.NotReady("no configuration is known yet")
        route = configuration.route_for(call.host, call.path)
        if route is None:
            raise errors.NoRoute("no route leads there")
        call = self._authorize(configuration, route, call)
        service = configuration.service_by_name.get(
            _choose_service(route.shares)
        )
        if service is None:
            raise errors.NoEndpoint(
                f"no service is configured for route {route.name}"
            )
        self._budgets.count_request(service)
        exchange = exchanges.Exchange(
            connection, call, route, service, self._now, self.count_begun
        )
        _log.info(
            "accepted",
            request=call.attempt,
            route=route.name,
            version=configuration.version,
            goal_ms=route.goal_ms,
            left_ms=exchange.left_ms,
            **_customer_fields(call),
            **_return_fields(call),
            **self._drain_fields(exchange),
        )
        return exchange

    def _authorize(self, configuration, route, call):
        """Return the call as its customer's.

        :raises UnknownKey, StaleKeys: it may not be served here now.
        """
        try:
            return self._checked(configuration, route, call)
        except (errors.UnknownKey, errors.StaleKeys) as exc:
            metrics.count("keys_refused", code=exc.code)
            raise

    def _checked(self, configuration, route, call):
        try:
            call = authorization.authorize(configuration, route, call)
        except errors.UnknownKey:
            self._freshness.check_unknown()
            raise
        if call.customer is not None:
            self._freshness.check()
        return call

    def _drain_fields(self, exchange):
        """Return the log fields for a request that came during a drain."""
        if not self._drain.is_on:
            return {}
        return {"taken_after_ms": self._drain.taken_after_ms(exchange)}

    async def _run_with_deadline(self, exchange):
        if self._drain.is_on:
            exchange.end_within(self._drain.left_ms)
        if exchange.left_ms <= 0:
            raise self._timeout_error(exchange)
        with anyio.move_on_after(clock.seconds(exchange.left_ms)) as scope:
            self._scope_by_exchange[exchange] = scope
            try:
                await self._run(exchange)
            finally:
                del self._scope_by_exchange[exchange]
        if scope.cancelled_caught:
            raise self._timeout_error(exchange)
        took = exchange.waited_ms
        metrics.observe_ms("answered", took, route=exchange.route.name)
        _log.info("answered", request=exchange.call.attempt, took_ms=took)

    async def _run(self, exchange):
        if exchange.service.engine is not None:
            await self._streams.run(exchange)
        else:
            self._drain.check_call(exchange)
            await self._plain.run(exchange)
            self._drain.record_call(exchange)

    def _timeout_error(self, exchange):
        """Return the error for a request that reached its deadline."""
        if not exchange.is_cut_short:
            return errors.DeadlineExceeded("no answer within the timeout")
        metrics.count("cut", route=exchange.route.name)
        _log.warning(
            "cut at the end of the process",
            request=exchange.call.attempt,
            route=exchange.route.name,
            taken_after_ms=self._drain.taken_after_ms(exchange),
            waited_ms=exchange.waited_ms,
            answer_begun=exchange.connection.answer_started,
        )
        if exchange.sends:
            return errors.Stopped(
                "the instance stopped before the answer was complete"
            )
        return errors.Draining("the instance stopped", retry_after_ms=0)

    async def _fail(self, connection, request, exchange, error):
        attempt = request.header(calls.ATTEMPT_HEADER) or b""
        metrics.count("failed", code=error.code)
        _log.info(
            "failed",
            request=attempt.decode("latin-1"),
            code=error.code,
            status=error.status,
            verdict=error.verdict.value,
            why=error.message,
            answer_begun=connection.answer_started,
        )
        if connection.answer_started:
            # Closing before the end of the body shows the caller that the
            # answer is truncated.
            connection.close_after_answer()
            return
        left_ms = exchange.left_ms if exchange else None
        head, body = exchanges.problem(error, left_ms)
        try:
            await connection.answer(head, body)
        except server.CallerDisconnected:
            connection.close_after_answer()


def _customer_fields(call):
    """Return the log fields for a request of a customer."""
    return {} if call.customer is None else {"customer": call.customer.name}


def _return_fields(call):
    """Return the log fields for a request that takes up a stream."""
    if not call.takes_up:
        return {}
    return {"resumes": call.resumes, "after": call.resume_after}


def _choose_service(shares):
    """Return a service name, drawn by the weights of the route."""
    if len(shares) == 1:
        return shares[0].service
    weights = [max(0.0, share.weight) for share in shares]
    if not any(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service
