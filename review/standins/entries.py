"""A small site with traffic, beside which another writer leaves an entry."""

import asyncio
import collections
import time

from review.standins import clients
from review.standins import deployment
from review.standins import engine
from review.standins import scene
from review.standins import service
from review.standins import store

GATEWAYS = 3
CLIENTS = 60
WORK_SECONDS = 0.5
TROUBLE_AFTER_SECONDS = 8.0
PLAY_SECONDS = 45.0
# The platform starts a process that has ended again after a short delay.
RESTART_SECONDS = 1.0


def new_address():
    """Return a free loopback address."""
    return f"127.0.0.1:{deployment.free_port()}"


async def _keep_running(gateway, record):
    """Start a process again each time that it has ended by itself."""
    while True:
        status = gateway.process.poll()
        if status is not None:
            record("ended", gateway=gateway.name, status=status)
            await asyncio.sleep(RESTART_SECONDS)
            gateway.start()
            record("started", gateway=gateway.name)
        await asyncio.sleep(0.02)


async def _start_engines(found, record):
    rows = []
    for name, stage in (
        ("engine-1", "prefill"),
        ("engine-2", "prefill"),
        ("engine-3", "decode"),
        ("engine-4", "decode"),
    ):
        one = engine.Engine(name, new_address(), stage, 500, record)
        row = deployment.engine_record(
            "model", one.address, stage=stage, slot_count=32
        )
        one.publish = lambda name=name, row=row, **new: found.put(
            "keyed.servers", name, row | new
        )
        await one.serve()
        one.publish()
        rows.append((name, row))
    for number in (1, 2):
        name = f"app-{number}"
        one = service.Service(name, new_address(), WORK_SECONDS, record)
        await one.serve()
        found.put(
            "keyed.servers", name, deployment.engine_record("app", one.address)
        )
    return dict(rows)


async def play(record, make_entry):
    """Play traffic; ``make_entry(row_by_name)`` gives what is written.

    It returns the key of an entry and its fields.
    """
    found = store.Store()
    address = new_address()
    await found.serve(address)
    routes = [
        deployment.route("chat", "model", "stream", resumable=True),
        deployment.route("book", "app", "unsafe", max_attempts=1),
    ]
    found.put("keyed.op", "config", deployment.manifest(1, routes, 500))
    row_by_name = await _start_engines(found, record)
    system = deployment.Deployment(GATEWAYS, address)
    try:
        await system.start()
        await _play_traffic(found, make_entry(row_by_name), system, record)
    finally:
        system.close()


async def _play_traffic(found, entry, system, record):
    ended = time.monotonic() + PLAY_SECONDS
    directory = clients.Directory([g.directory for g in system.gateways])
    names = clients.names()
    async with asyncio.TaskGroup() as group:
        watchers = [
            group.create_task(_keep_running(gateway, record))
            for gateway in system.gateways
        ]
        makers = [clients.booking("/book/x"), clients.chat("/chat/x")]
        callers = [
            group.create_task(
                clients.Client(directory, names, record).run(
                    makers[number % 2], lambda: time.monotonic() > ended
                )
            )
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(TROUBLE_AFTER_SECONDS)
        if scene.has_trouble():
            record("entry written", key=repr(entry[0]), fields=entry[1])
            found.put("keyed.servers", *entry)
        await asyncio.gather(*callers)
        for watcher in watchers:
            watcher.cancel()


def lost(record):
    """Return the requests that an engine ran, and that got no answer."""
    run = {row["attempt"] for row in record.of("run")}
    return [row for row in record.of("closed") if row["attempt"] in run]


def ends_by_gateway(record):
    """Return how often each process ended by itself."""
    return collections.Counter(row["gateway"] for row in record.of("ended"))


def summarise(record):
    """Add what happened to the record."""
    statuses = collections.Counter(
        row["status"] for row in record.of("answered")
    )
    record.say(f"answers by status: {dict(statuses)}")
    record.say(f"ended by themselves: {dict(ends_by_gateway(record))}")
    record.say(f"run, and closed without an answer: {len(lost(record))}")
