"""The HTTP API for callers.

Model requests use the completions API that model clients already support;
calls to plain services are served under ``/services/NAME/``.  Every error is
a problem document with the verdict or, once a stream has begun, an ``error``
event that contains one.
"""

import base64
import json

import anyio
from starlette import requests
from starlette import responses
from starlette import routing

from clementinewall import _web
from clementinewall import clock
from clementinewall.endpoints import sse
from clementinewall.entry import calls
from clementinewall.entry import progress
from clementinewall.entry import request_parsing
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.records import bookings
from clementinewall import verdicts

_log = logs.PartLog("caller")

MAX_ADDRESSES = 6
MAX_ADDRESSES_PER_DATA_CENTRE = 2
EVENT_STREAM = b"text/event-stream"


class CallerApp:
    """The ASGI application for callers; one per entry."""

    def __init__(self, node, loads, relay, service_calls):
        """Serve models by ``relay``, services by ``service_calls``."""
        self._node = node
        self._loads = loads
        self._relay = relay
        self._calls = service_calls
        self.open_requests = 0

    def application(self):
        """Return the ASGI application."""
        app = _web.application(
            [
                routing.Route("/v1/addresses", self._on_addresses),
                routing.Route("/v1/models", self._on_models),
                routing.Route(
                    "/v1/tickets", self._on_ticket, methods=["POST"]
                ),
                routing.Route(
                    "/v1/chat/completions", _PostEndpoint(self._on_model)
                ),
                routing.Route(
                    "/v1/completions", _PostEndpoint(self._on_model)
                ),
                routing.Route(
                    "/services/{service}/{rest:path}",
                    self._on_call,
                    methods=["GET", "POST", "PUT", "PATCH", "DELETE"],
                ),
                routing.Route("/live", _on_live),
            ]
        )
        return self._count_requests(app)

    def _count_requests(self, app):
        """Count open requests and close connections while draining."""

        async def handle(scope, receive, send):
            if scope["type"] != "http":
                await app(scope, receive, send)
                return
            self.open_requests += 1
            try:
                await app(scope, receive, self._close_when_draining(send))
            finally:
                self.open_requests -= 1

        return handle

    def _close_when_draining(self, send):
        async def send_with_close(message):
            draining = self._node.stopping.is_set()
            if draining and message["type"] == "http.response.start":
                # On a kept connection, the caller could send its next
                # request as the socket closes and not know whether it ran.
                headers = list(message.get("headers", []))
                headers.append((b"connection", b"close"))
                message = {**message, "headers": headers}
            await send(message)

        return send_with_close

    def _check_ready(self):
        if not self._node.is_ready():
            raise errors.NotReady(
                "no configuration has been received yet", retry_after_ms=1_000
            )

    def _check_capacity(self):
        """Refuse a request if too many are open.

        :raises NotReady: there is no configuration yet.
        :raises Overloaded: the limit is reached; the request is not run.
        """
        self._check_ready()
        if self.open_requests > self._node.settings.limits.requests:
            raise errors.Overloaded(
                "too many requests are open at this entry", retry_after_ms=500
            )

    async def _read_body(self, request, context):
        """Return the body of a request that fits into a drain.

        :raises NotReady: the process may end before the deadline.
        """
        deadline_ms = context.work_class.deadline_ms
        self._node.check_remaining_time(deadline_ms)
        raw = await _web.read_body(request, self._node.settings.limits)
        # The deadline starts here, and reading a slow body took time.
        self._node.check_remaining_time(deadline_ms)
        return raw

    async def _on_addresses(self, _request):
        settings = self._node.settings
        rows = self._node.members.live("entry")
        rows = [r for r in rows if r.state == "live" and r.callers]
        near = settings.instance.data_centre
        rows.sort(key=lambda row: (row.data_centre != near, row.id))
        picked = _pick_addresses(rows)
        return responses.JSONResponse(
            {
                "addresses": [
                    {"address": r.callers, "data_centre": r.data_centre}
                    for r in picked
                ],
                "keep_ms": settings.limits.keep_addresses_ms,
            }
        )

    async def _on_models(self, _request):
        self._check_ready()
        rows = [
            {"id": name, "object": "model", "owned_by": "fleet"}
            for name in self._loads.models()
        ]
        return responses.JSONResponse({"object": "list", "data": rows})

    async def _on_ticket(self, request):
        self._check_ready()
        context = request_parsing.read_context(
            request, self._node.view, "service"
        )
        ticket = await self._calls.make_ticket(context.caller)
        return responses.JSONResponse({"idempotency_key": ticket})

    async def _on_call(self, request):
        self._check_capacity()
        context = request_parsing.read_context(
            request, self._node.view, "service"
        )
        service = request.path_params["service"]
        if not self._loads.is_known("service", service):
            raise errors.UnknownService(
                f"no endpoint serves service {service!r}"
            )
        raw = await self._read_body(request, context)
        key = request_parsing.read_key(request)
        call = calls.Call(
            request_id=context.request_id,
            caller=context.caller,
            class_name=context.class_name,
            service=service,
            method=request.method,
            path=_service_path(request),
            key=bookings.scoped_key(context.caller, key or context.request_id),
            body=base64.b64encode(raw).decode(),
            media_type=request.headers.get(
                "content-type", "application/octet-stream"
            ),
            deadline_ms=context.work_class.deadline_ms,
            trace=context.trace,
        )
        return await self._answer_call(context, call, key)

    async def _answer_call(self, context, call, key):
        started = self._node.clock.now()
        try:
            if context.work_class.idempotent:
                answer = await self._calls.run_idempotent(call)
            elif key is None:
                raise errors.MissingKey(
                    f"a call of class {context.class_name} requires a key in "
                    f"{request_parsing.KEY_HEADER}"
                )
            else:
                answer = await self._calls.run_booking(call)
        except errors.ClementinewallError as exc:
            self._log_error(context, exc)
            return _web.problem(exc, context.request_id)
        took = self._node.clock.now() - started
        metrics.observe_ms("call", took, work_class=context.class_name)
        return responses.Response(
            answer.body,
            status_code=answer.status,
            media_type=answer.media_type or None,
            headers={
                "X-Request-Id": context.request_id,
                "X-Kept-Answer": "1" if answer.kept else "0",
            },
        )

    async def _on_model(self, scope, receive, send):
        request = requests.Request(scope, receive)
        self._check_capacity()
        limits = self._node.settings.limits
        context = request_parsing.read_context(
            request, self._node.view, "model"
        )
        raw = await self._read_body(request, context)
        body = _web.decode_object(raw)
        work = request_parsing.read_model_work(request, context, body, raw)
        kind = _StreamSink if work.streamed else _BufferedSink
        sink = kind(work, send, limits)
        try:
            await self._run_until_disconnect(work, sink, receive)
        except errors.ClementinewallError as exc:
            self._log_error(context, exc)
            await sink.fail(exc, scope, receive)

    async def _run_until_disconnect(self, work, sink, receive):
        """Relay the answer; cancel it if the caller disconnects."""
        failure = None
        async with anyio.create_task_group() as group:
            group.start_soon(
                _cancel_on_disconnect, receive, sink, group.cancel_scope
            )
            try:
                await self._relay.run(work, sink)
                await sink.finish()
            except errors.ClementinewallError as exc:
                # Raised inside the task group, it would be wrapped in an
                # exception group, which the error handlers don't expect.
                failure = exc
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure

    def _log_error(self, context, exc):
        metrics.count("errors", work_class=context.class_name, code=exc.code)
        _log.info(
            "ended with an error",
            request=context.request_id,
            caller=context.caller,
            code=exc.code,
            verdict=exc.verdict.value,
            why=exc.message,
        )


class _PostEndpoint:
    """Wraps a method as an ASGI endpoint that accepts only POST."""

    def __init__(self, handle):
        self._handle = handle

    async def __call__(self, scope, receive, send):
        if scope["method"] != "POST":
            error = errors.BadRequest("method not allowed; use POST")
            error.status = 405
            raise error
        await self._handle(scope, receive, send)


class _StreamSink:
    """Streams events to the caller as they arrive."""

    def __init__(self, work, send, limits):
        self._work = work
        self._send = send
        self._timeout_s = clock.seconds(limits.slow_reader_ms)
        self.started = False

    async def send(self, raw, endpoint_id):
        if not self.started:
            await self._start(endpoint_id)
        await self._send_body(raw, True)

    async def finish(self):
        await self._end_body(b"")

    async def fail(self, error, scope, receive):
        if not self.started:
            response = _web.problem(error, self._work.context.request_id)
            await response(scope, receive, self._send)
            return
        body = _web.problem_body(error, self._work.context.request_id)
        event = f"event: error\ndata: {json.dumps(body)}\n\n"
        await self._end_body(event.encode())

    async def _start(self, endpoint_id):
        self.started = True
        request_id = self._work.context.request_id
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [
                    (b"content-type", EVENT_STREAM),
                    (b"cache-control", b"no-store"),
                    (b"x-request-id", request_id.encode("latin-1")),
                    (b"x-stream-endpoint", endpoint_id.encode("latin-1")),
                ],
            }
        )

    async def _end_body(self, body):
        """Send the end of the answer, or give up if the caller is too slow."""
        with anyio.move_on_after(self._timeout_s):
            await self._send_body(body, False)

    async def _send_body(self, body, more):
        message = {
            "type": "http.response.body",
            "body": body,
            "more_body": more,
        }
        await self._send(message)


class _BufferedSink:
    """Collects the events and sends them as one answer."""

    def __init__(self, work, send, _limits):
        self._work = work
        self._send = send
        self._splitter = sse.Splitter()
        self._texts = []
        self.started = False

    async def send(self, raw, _endpoint_id):
        for event in self._splitter.feed(raw):
            self._texts.append(progress.text_of(event))

    async def finish(self):
        if None in self._texts:
            # Skipping the event would truncate the answer unnoticed.
            raise errors.EndpointFailed(
                "the engine sent an event that cannot be parsed",
                verdicts.Verdict.RAN,
            )
        response = responses.JSONResponse(
            self._answer(),
            headers={"X-Request-Id": self._work.context.request_id},
        )
        await response({"type": "http"}, None, self._send)

    async def fail(self, error, scope, receive):
        response = _web.problem(error, self._work.context.request_id)
        await response(scope, receive, self._send)

    def _answer(self):
        text = "".join(self._texts)
        choice = {"index": 0, "finish_reason": "stop"}
        kind = "text_completion"
        if self._work.path.endswith("/chat/completions"):
            kind = "chat.completion"
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": self._work.context.request_id,
            "object": kind,
            "model": self._work.model,
            "choices": [choice],
        }


async def _cancel_on_disconnect(receive, _sink, scope):
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


def _service_path(request):
    path = "/call/" + request.path_params["rest"]
    if request.url.query:
        return f"{path}?{request.url.query}"
    return path


def _pick_addresses(rows):
    """Pick rows from several data centres, so that one outage costs few."""
    picked = []
    by_data_centre = {}
    for row in rows:
        chosen = by_data_centre.setdefault(row.data_centre, [])
        if len(chosen) < MAX_ADDRESSES_PER_DATA_CENTRE:
            chosen.append(row)
            picked.append(row)
    return picked[:MAX_ADDRESSES]


async def _on_live(_request):
    return responses.PlainTextResponse("live\n")
