"""The gateway process: its tasks, its listeners and its end."""

import gc
import random
import signal

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import beliefs
from clementinewall.gateway import budgets
from clementinewall.gateway import endpoints
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import following
from clementinewall.gateway import guard
from clementinewall.gateway import membership
from clementinewall.gateway import peers
from clementinewall.gateway import plain
from clementinewall.gateway import stages
from clementinewall.gateway import streams
from clementinewall.http1 import messages
from clementinewall.http1 import server
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import addresses
from clementinewall.platform import calls

_log = logs.PartLog("gateway")

SWEEP_MS = 250
# How long callers keep the addresses that they were told.  Short, so that a
# gateway that died is not tried for long; each question costs 0.3 ms.
ADDRESSES_TTL_MS = 2_000
# Of the time between SIGTERM and the end: up to here new connections are
# still accepted, since callers kept the address.  What is still open in the
# last sixth is cut; with less than a tenth left two of 14 slowed processes
# had not ended in time and were killed.
ACCEPT_PART = 0.6
END_PART = 0.86
BACKLOG = 1_024


class Gateway:
    """All parts of the process."""

    def __init__(self, settings, group, log_writer):
        """Put the parts together; ``group`` runs the tasks."""
        self._log_writer = log_writer
        ticker = clock.Clock()
        now = ticker.now
        self._settings = settings
        self._now = now
        self._group = group
        self._beliefs = beliefs.Beliefs(now)
        self._endpoints = endpoints.Endpoints(self._beliefs, now)
        self._guard = guard.Guard(now)
        self._membership = membership.Membership(settings, self._beliefs)
        self._peers = peers.Peers(
            settings,
            now,
            self._report,
            self._endpoints,
            self._guard,
            self._membership,
        )
        self._budgets = budgets.Budgets(settings, self._peers, now)
        self._plain = plain.PlainRelay(
            settings, self._endpoints, self._budgets, self._guard, now
        )
        self._streams = streams.StreamRelay(
            settings,
            self._endpoints,
            self._peers,
            self._membership,
            self._budgets,
            self._guard,
            group,
            now,
        )
        self._stages = stages.StageKeeper(
            settings, self._beliefs, self._endpoints, self._peers, ticker
        )
        self._stopping = anyio.Event()
        self._connections = set()
        self._open = 0

    @property
    def is_ready(self):
        """Tell whether callers should come here."""
        return self._beliefs.is_ready and not self._stopping.is_set()

    def _report(self):
        state = peers.encode(
            self._settings,
            self.is_ready,
            self._endpoints.work_by_endpoint(),
            self._endpoints.away_by_endpoint(),
            self._now(),
        )
        return state, self._endpoints.drain_read()

    async def run(self):
        """Serve until SIGTERM and the end of what is open."""
        settings = self._settings
        start = self._group.start_soon
        start(following.configuration_follower(*self._known()).run)
        start(following.fleet_follower(*self._known()).run)
        start(
            following.peers_follower(settings, self._now, self._peers.take).run
        )
        start(self._peers.register)
        start(self._peers.run)
        start(self._stages.run)
        start(self._sweep)
        callers = await _listener(settings.callers)
        small = [
            (settings.ready, self._on_ready),
            (settings.directory, self._on_directory),
        ]
        if settings.metrics_port is not None:
            where = f"{settings.ip}:{settings.metrics_port}"
            small.append((where, _on_metrics))
        for address, handle in small:
            start(self._serve_small, await _listener(address), handle)
        _log.info(
            "started",
            callers=settings.callers,
            data_centre=settings.data_centre,
            store=settings.store,
        )
        async with anyio.create_task_group() as accepting:
            accepting.start_soon(callers.serve, self._on_caller, self._group)
            await self._wait_term()
            await self._drain(accepting.cancel_scope)

    def _known(self):
        return self._settings, self._now, self._beliefs

    async def _wait_term(self):
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    # All that the settings hold is fixed for the life of a
                    # process; what may change comes from the store.
                    _log.info("settings changed, nothing to do")
                    continue
                _log.info("asked to stop", signal=int(number))
                return

    async def _drain(self, accepting):
        """Leave the callers' answers, then end what is open."""
        grace_ms = self._settings.bounds.grace_ms
        self._stopping.set()
        started = self._now()
        for connection in self._connections:
            connection.close_after_answer()
        # Callers keep the address for a while and come in good faith.
        await self._until(started + grace_ms * ACCEPT_PART, False)
        accepting.cancel()
        await self._until(started + grace_ms * END_PART, True)
        _log.info("stopped", open=self._open)

    async def _until(self, end, stop_when_idle):
        while self._now() < end:
            if stop_when_idle and not self._open:
                return
            await anyio.sleep(clock.seconds(SWEEP_MS / 5))

    async def _sweep(self):
        gc.freeze()
        while True:
            self._log_writer.flush()
            self._beliefs.expire()
            self._membership.update([p.ip for p in self._peers.live()])
            self._endpoints.sweep()
            await anyio.sleep(clock.seconds(SWEEP_MS))

    async def _on_caller(self, stream):
        limits = server.Limits()
        if self._beliefs.configuration is not None:
            limits = self._beliefs.configuration.limits
        connection = server.Connection(stream, limits)
        self._connections.add(connection)
        if self._stopping.is_set():
            connection.close_after_answer()
        try:
            await self._serve_caller(connection)
        finally:
            self._connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await _close(stream)

    async def _serve_caller(self, connection):
        while True:
            try:
                request = await connection.read_request()
            except server.Refused as exc:
                await self._refuse_bytes(connection, exc)
                return
            if request is None:
                return
            self._open += 1
            try:
                await self._serve_request(connection, request)
            except server.CallerGone:
                return
            finally:
                self._open -= 1
            if not connection.next_request():
                return

    async def _refuse_bytes(self, connection, refused):
        error = errors.BadRequest(refused.why)
        error.status = refused.status
        connection.close_after_answer()
        _log.info("bytes refused", status=refused.status, why=refused.why)
        try:
            await connection.answer(*exchanges.problem(error))
        except server.CallerGone:
            _log.debug("caller gone before the refusal")
        except server.h11.LocalProtocolError as exc:
            _log.debug("refusal not sent", why=str(exc))

    async def _serve_request(self, connection, request):
        """Answer one request, but stop when its caller has gone."""
        gone = []
        async with anyio.create_task_group() as group:

            async def watch():
                await connection.wait_gone()
                gone.append(True)
                group.cancel_scope.cancel()

            group.start_soon(watch)
            await self._answer(connection, request)
            group.cancel_scope.cancel()
        if gone:
            _log.info(
                "caller gone",
                request=(request.header(calls.ATTEMPT) or b"").decode(
                    "latin-1"
                ),
            )
            raise server.CallerGone

    async def _answer(self, connection, request):
        exchange = None
        try:
            call = calls.decode(request)
            exchange = self._exchange(connection, call)
            await self._run_in_time(exchange)
        except errors.ClementinewallError as exc:
            await self._fail(connection, request, exchange, exc)
        except server.CallerGone:
            connection.close_after_answer()
        except Exception as exc:
            _log.error("defect", why=repr(exc))
            logs.traceback(_log)
            error = errors.ClementinewallError("internal error")
            await self._fail(connection, request, exchange, error)

    def _exchange(self, connection, call):
        configuration = self._beliefs.configuration
        if configuration is None:
            raise errors.NotReady("no configuration is known yet")
        route = configuration.route_for(call.host, call.path)
        if route is None:
            raise errors.NoRoute("no route leads there")
        service = configuration.service_by_name.get(_pick(route.shares))
        if service is None:
            raise errors.NoEndpoint(f"route {route.name} has no service")
        self._budgets.count_request(service)
        self._guard.check(call)
        exchange = exchanges.Exchange(
            connection, call, route, service, self._now
        )
        _log.info(
            "accepted",
            request=call.attempt,
            route=route.name,
            version=configuration.version,
            left_ms=exchange.left_ms,
        )
        return exchange

    async def _run_in_time(self, exchange):
        with anyio.move_on_after(clock.seconds(exchange.left_ms)) as scope:
            if exchange.service.engine is not None:
                await self._streams.run(exchange)
            else:
                await self._plain.run(exchange)
        if scope.cancelled_caught:
            raise errors.DeadlineExceeded("no answer within the timeout")
        took = exchange.waited_ms
        metrics.observe_ms("answered", took, route=exchange.route.name)
        _log.info("answered", request=exchange.call.attempt, took_ms=took)

    async def _fail(self, connection, request, exchange, error):
        attempt = request.header(calls.ATTEMPT) or b""
        metrics.count("failed", code=error.code)
        _log.info(
            "failed",
            request=attempt.decode("latin-1"),
            code=error.code,
            status=error.status,
            verdict=error.verdict.value,
            why=error.message,
        )
        if connection.answered:
            # Closing without the end of the body shows that it is cut off.
            connection.close_after_answer()
            return
        left_ms = exchange.left_ms if exchange else None
        head, body = exchanges.problem(error, left_ms)
        try:
            await connection.answer(head, body)
        except server.CallerGone:
            connection.close_after_answer()

    async def _serve_small(self, listener, handle):
        async def serve(stream):
            connection = server.Connection(stream, server.Limits())
            try:
                while True:
                    request = await connection.read_request()
                    if request is None:
                        break
                    await connection.answer(*handle(request))
                    if not connection.next_request():
                        break
            except (server.Refused, server.CallerGone) as exc:
                _log.debug("question not answered", why=str(exc))
            finally:
                with anyio.CancelScope(shield=True):
                    await _close(stream)

        await listener.serve(serve, self._group)

    def _on_ready(self, request):
        if request.target.split(b"?")[0] != addresses.READY_PATH:
            return _empty(404, b"Not Found")
        if self.is_ready:
            return _empty(200, b"OK")
        return _empty(503, b"Service Unavailable")

    def _on_directory(self, request):
        if request.target.split(b"?")[0] != addresses.PATH:
            return _empty(404, b"Not Found")
        near = addresses.asked_data_centre(request.target)
        rows = [
            (peer.data_centre != near, random.random(), peer.callers)
            for peer in self._peers.live()
            if peer.ready
        ]
        if self.is_ready:
            own = self._settings.data_centre != near
            rows.append((own, random.random(), self._settings.callers))
        if not rows:
            return _empty(503, b"Service Unavailable")
        body = addresses.answer(
            [row[2] for row in sorted(rows)], self._ttl_ms()
        )
        head = messages.Head(
            200, b"OK", ((b"Content-Type", b"application/json"),)
        )
        return head, body

    def _ttl_ms(self):
        return min(ADDRESSES_TTL_MS, self._settings.bounds.addresses_ttl_ms)


def _on_metrics(_request):
    head = messages.Head(200, b"OK", ((b"Content-Type", b"text/plain"),))
    return head, metrics.render().encode()


def _pick(shares):
    """Return the service of one request, by the weights of the route."""
    if len(shares) == 1:
        return shares[0].service
    weights = [max(0.0, share.weight) for share in shares]
    if not any(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service


def _empty(status, reason):
    return messages.Head(status, reason, ()), b""


async def _listener(address):
    host, _, port = address.rpartition(":")
    return await anyio.create_tcp_listener(
        local_host=host, local_port=int(port), backlog=BACKLOG
    )


async def _close(stream):
    try:
        await stream.aclose()
    except (anyio.BrokenResourceError, OSError) as exc:
        _log.debug("close failed", why=repr(exc))


async def run(settings, log_writer):
    """Run a gateway until it is stopped."""
    async with anyio.create_task_group() as group:
        await Gateway(settings, group, log_writer).run()
        group.cancel_scope.cancel()
    log_writer.flush()
