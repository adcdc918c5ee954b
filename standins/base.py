"""What the stand-ins share: serving HTTP and reading JSON."""

import json
import signal
import sys

import anyio
import hypercorn.asyncio
import hypercorn.config
from starlette import applications
from starlette import responses


async def serve(routes, *addresses):
    """Serve until a signal asks to stop."""
    config = hypercorn.config.Config()
    config.bind = list(addresses)
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.2
    stop = anyio.Event()

    async def watch():
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                stop.set()
                return

    app = applications.Starlette(routes=routes)
    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)
        group.cancel_scope.cancel()


async def body_of(request):
    """Return the JSON body, or an empty map."""
    raw = await request.body()
    return json.loads(raw) if raw else {}


def reply(data, status=200, headers=None):
    """Answer with JSON."""
    return responses.JSONResponse(data, status, headers)


def record(event, **fields):
    """Write what happened to this stand-in to its log, for the checkers.

    A line in the log outlives the process, unlike its memory.
    """
    sys.stdout.write(event_line(event, **fields))
    sys.stdout.flush()


def event_line(event, **fields):
    """Return an event as a line for the checkers."""
    return f"EVENT {json.dumps({'event': event, **fields})}\n"
