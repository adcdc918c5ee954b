"""Slopes of what the log holds: claims, configuration, bookings."""

import json

from bench import slope
from clementinewall import _schema
from clementinewall.records import bookings
from clementinewall.records import configuration
from clementinewall.records import control


def _claims(count):
    rows = []
    for number in range(count):
        scope = f"endpoints/dc-{number % 10}/{number}of{count}"
        record = control.Claim(
            f"{number:016x}",
            scope,
            f"instance-{number:04d}/steward",
            f"{number:012x}",
            "10.1.1.7:9000",
            -1,
            -1,
        )
        rows.append(_schema.plain(record))
    return rows


def _state(count):
    state = control.State()
    state.begin(0)
    for offset, record in enumerate(_claims(count)):
        state.apply(offset, record)
    return state


def renewal_cpu():
    """Processor time to apply one renewal, against its scopes."""
    points = []
    for count in (1, 4, 16, 64):
        state = _state(count)
        claims = {s: h.offset for s, h in state.held_by_scope.items()}
        record = _schema.plain(
            control.Renewal("r", "instance-1/steward", "b", claims)
        )
        text = json.dumps(record)

        def work(state=state, text=text):
            state.apply(state.next, json.loads(text))

        points.append((count, slope.cpu_us(work, 200)))
    return slope.Slope(
        "renewal cpu", "us", "scope in it", "in process", points
    )


def renewal_bytes():
    """Bytes of one renewal with its envelope against its scopes."""
    points = []
    for count in (1, 4, 16, 64):
        state = _state(count)
        claims = {s: h.offset for s, h in state.held_by_scope.items()}
        record = _schema.plain(
            control.Renewal(
                "0" * 16, "instance-0001/steward", "0" * 12, claims
            )
        )
        text = json.dumps({"offset": 4_120_000, "record": record})
        points.append((count, len(text)))
    return slope.Slope(
        "renewal bytes", "bytes", "scope in it", "encoded", points
    )


def _endpoint(number):
    return {
        "address": f"10.2.{number % 250}.9:9000",
        "data_centre": f"dc-{number % 10}",
        "kind": "engine",
        "serves": [f"model-{number % 7}"],
        "role": "auto",
        "version": "2026-11",
    }


def _fleet(count):
    return {f"endpoint/engine-{n:05d}": _endpoint(n) for n in range(count)}


def change_cpu():
    """Time to apply one change and build the view, against endpoints."""
    points = []
    for count in (250, 500, 1_000, 2_100):
        state = control.State()
        state.begin(0)
        fleet = _fleet(count)
        expects = dict.fromkeys(fleet, -1)
        first = control.Change("0", "op", expects, fleet)
        state.apply(0, _schema.plain(first))

        def work(state=state):
            key = "endpoint/engine-00001"
            change = control.Change(
                str(state.next),
                "op",
                {key: state.offset_by_key[key]},
                {key: _endpoint(state.next)},
            )
            state.apply(state.next, _schema.plain(change))
            return state.view

        points.append((count, slope.cpu_us(work, 2)))
    return slope.Slope("change cpu", "us", "endpoint", "in process", points)


def endpoint_memory():
    """Memory of the applied configuration and its view."""

    def build(count):
        state = control.State()
        state.begin(0)
        fleet = json.loads(json.dumps(_fleet(count)))
        state.adopt(
            {
                "version": 0,
                "data_by_key": fleet,
                "offset_by_key": dict.fromkeys(fleet, 0),
                "held_by_scope": {},
            },
            0,
        )
        return state, state.view

    points = [
        (n, slope.memory_bytes(lambda n=n: build(n)))
        for n in (250, 500, 1_000, 2_100)
    ]
    return slope.Slope(
        "endpoint memory", "bytes", "endpoint", "tracemalloc", points
    )


def snapshot_bytes():
    """Bytes of a snapshot against the endpoints in it."""
    points = []
    for count in (250, 500, 1_000, 2_100):
        fleet = _fleet(count)
        text = json.dumps(
            {"data_by_key": fleet, "offset_by_key": dict.fromkeys(fleet, 1)}
        )
        points.append((count, len(text)))
    return slope.Slope(
        "snapshot bytes", "bytes", "endpoint", "encoded", points
    )


def _commit(count, serial=0):
    intents = tuple(
        bookings.Intent(
            f"{serial + n:016x}", f"caller-1/key-{serial + n}", "d" * 24
        )
        for n in range(count)
    )
    outcomes = tuple(
        bookings.Outcome(i.id, i.key, "ran", 200, '{"order": 123456}')
        for i in intents
    )
    return bookings.Commit("b" * 12, intents, outcomes)


def commit_cpu():
    """Time to encode, decode and apply a commit against its bookings."""
    points = []
    for count in (1, 4, 16, 64):
        table = bookings.Table(10_000_000)
        serial = [0]

        def work(table=table, serial=serial, count=count):
            serial[0] += count
            text = json.dumps(_schema.plain(_commit(count, serial[0])))
            table.apply(table.next, json.loads(text))

        points.append((count, slope.cpu_us(work, 20)))
    return slope.Slope(
        "commit cpu", "us", "booking in it", "in process", points
    )


def commit_bytes():
    """Bytes of a commit against its bookings, intent and outcome."""
    points = [
        (n, len(json.dumps(_schema.plain(_commit(n))))) for n in (1, 4, 16, 64)
    ]
    return slope.Slope(
        "commit bytes", "bytes", "booking in it", "encoded", points
    )


def key_memory():
    """Memory of the table of bookings against the keys it remembers."""

    def build(count):
        table = bookings.Table(10_000_000)
        for number in range(count):
            text = json.dumps(_schema.plain(_commit(1, number)))
            table.apply(number, json.loads(text))
        return table

    points = [
        (n, slope.memory_bytes(lambda n=n: build(n)))
        for n in (500, 1_000, 2_000, 4_000)
    ]
    return slope.Slope("key memory", "bytes", "key", "tracemalloc", points)


def view_cost():
    """Time to read the typed view of a configuration that did not change."""
    points = []
    for count in (250, 500, 1_000, 2_100):
        values = {
            key: configuration.read_value(key, data)[0]
            for key, data in _fleet(count).items()
        }

        def work(values=values):
            configuration.view(0, values)

        points.append((count, slope.cpu_us(work, 10)))
    return slope.Slope("view cpu", "us", "endpoint", "in process", points)
