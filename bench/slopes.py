"""The slopes from which docs/CAPACITY.md is worked out.

Usage:
  slopes [--json] [--only=NAME]

Options:
  --json       Print JSON.
  --only=NAME  Measure one slope only.

Each slope is measured at four sizes or more and printed with its points, a
straight line through them and the largest deviation from it.  In-process
measurements say so; ``idle`` and ``propagation`` use real processes.
"""

import gc
import json
import time
import tracemalloc
import typing

import docopt

from bench import fit
from bench import slopes_processes
from clementinewall import _schema
from clementinewall import clock
from clementinewall.entry import shares
from clementinewall.membership import crashes
from clementinewall.membership import members
from clementinewall.membership import wire
from clementinewall.policy import routing
from clementinewall.records import bookings
from clementinewall.records import configuration
from clementinewall.records import control
from clementinewall import settings

REPEATS = 5
MICRO = 1_000_000


class Slope(typing.NamedTuple):
    """A measured slope with its unit and how it was measured."""

    name: str
    unit: str
    per: str
    how: str
    points: tuple[tuple[float, float], ...]


def cpu_us(work, rounds):
    """Return the processor time of one call of ``work``, in us.

    The least of several repeats: whatever else ran on the machine can only
    have made the others longer.
    """
    best = None
    for _ in range(REPEATS):
        begin = time.process_time()
        for _ in range(rounds):
            work()
        took = (time.process_time() - begin) / rounds * MICRO
        best = took if best is None else min(best, took)
    return best


def memory_bytes(build):
    """Return the bytes that what ``build`` returns holds on to."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def _row(number, data_centre="a"):
    return members.Member(
        id=f"instance-{number:04d}/entry",
        program="entry",
        data_centre=data_centre,
        region="north",
        boot=f"{number:012x}",
        control=f"10.1.{number % 250}.7:9000",
        callers=f"10.1.{number % 250}.7:8000",
        beat=number,
        version=412_000,
        next=4_120_000,
    )


def _table(count, away=0):
    now = clock.ManualClock()
    table = members.Members(_row(0), settings.Membership(), now.now)
    for number in range(1, count):
        table.merge_row(_row(number))
    for number in range(away):
        table.merge_row(_row(10_000 + number, f"away-{number % 9}"))
    return table


CODEC = wire.Codec("token")


def _message(table):
    rows = table.message_rows()
    beats = tuple((r.id, r.incarnation, r.beat, r.version) for r in rows)
    own = (table.own,)
    datagram = wire.Datagram(wire.HELLO, own[0].id, 1, own, beats=beats)
    return wire.split(datagram, CODEC)


def gossip_bytes():
    """Bytes of one gossip message against members of the data centre."""
    points = [(n, sum(map(len, _message(_table(n))))) for n in (8, 16, 35, 70)]
    return Slope("gossip bytes", "bytes", "member", "encoded", points)


def gossip_cpu():
    """Processor time to encode one message and take one in."""
    points = []
    for count in (8, 16, 35, 70):
        table = _table(count)
        raws = _message(table)

        def work(table=table, raws=raws):
            _message(table)
            for raw in raws:
                for beat in CODEC.decode(raw).beats:
                    table.merge_beat(beat)

        points.append((count, cpu_us(work, 20)))
    return Slope("gossip cpu", "us", "member", "in process", points)


def member_memory():
    """Memory of the table against its members."""
    points = [
        (n, memory_bytes(lambda n=n: _table(n))) for n in (50, 100, 200, 400)
    ]
    return Slope("member memory", "bytes", "member", "tracemalloc", points)


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
    """Processor time to fold one renewal against the scopes it names."""
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

        points.append((count, cpu_us(work, 200)))
    return Slope("renewal cpu", "us", "scope in it", "in process", points)


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
    return Slope("renewal bytes", "bytes", "scope in it", "encoded", points)


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
    """Time to fold one change and build the view, against endpoints."""
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

        points.append((count, cpu_us(work, 2)))
    return Slope("change cpu", "us", "endpoint", "in process", points)


def endpoint_memory():
    """Memory of the folded configuration and its view."""

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
        (n, memory_bytes(lambda n=n: build(n)))
        for n in (250, 500, 1_000, 2_100)
    ]
    return Slope("endpoint memory", "bytes", "endpoint", "tracemalloc", points)


def snapshot_bytes():
    """Bytes of a snapshot against the endpoints in it."""
    points = []
    for count in (250, 500, 1_000, 2_100):
        fleet = _fleet(count)
        text = json.dumps(
            {"data_by_key": fleet, "offset_by_key": dict.fromkeys(fleet, 1)}
        )
        points.append((count, len(text)))
    return Slope("snapshot bytes", "bytes", "endpoint", "encoded", points)


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
    """Time to encode, decode and fold a commit against its bookings."""
    points = []
    for count in (1, 4, 16, 64):
        table = bookings.Table(10_000_000)
        serial = [0]

        def work(table=table, serial=serial, count=count):
            serial[0] += count
            text = json.dumps(_schema.plain(_commit(count, serial[0])))
            table.apply(table.next, json.loads(text))

        points.append((count, cpu_us(work, 20)))
    return Slope("commit cpu", "us", "booking in it", "in process", points)


def commit_bytes():
    """Bytes of a commit against its bookings, intent and outcome."""
    points = [
        (n, len(json.dumps(_schema.plain(_commit(n))))) for n in (1, 4, 16, 64)
    ]
    return Slope("commit bytes", "bytes", "booking in it", "encoded", points)


def key_memory():
    """Memory of the table of bookings against the keys it remembers."""

    def build(count):
        table = bookings.Table(10_000_000)
        for number in range(count):
            text = json.dumps(_schema.plain(_commit(1, number)))
            table.apply(number, json.loads(text))
        return table

    points = [
        (n, memory_bytes(lambda n=n: build(n)))
        for n in (500, 1_000, 2_000, 4_000)
    ]
    return Slope("key memory", "bytes", "key", "tracemalloc", points)


def _candidates(count):
    return [
        routing.Candidate(
            id=f"engine-{n:05d}",
            queued_tokens=n * 37 % 5_000,
            running=n % 20,
            distance_ms=0.5 + n % 3,
        )
        for n in range(count)
    ]


def routing_cpu():
    """Time of one choice against the candidates."""
    work_wanted = routing.Work(800, 1_100, 33)
    points = []
    for count in (8, 16, 64, 512, 2_100):
        known = _candidates(count)

        def work(known=known):
            routing.choose(known, work_wanted, 0.5)

        points.append((count, cpu_us(work, max(2, 4_000 // count))))
    return Slope("routing cpu", "us", "candidate", "in process", points)


def subset_cpu():
    """Time to find the subset and the preferred among all endpoints."""
    points = []
    for count in (250, 500, 1_000, 2_100):
        ids = [f"engine-{n:05d}" for n in range(count)]

        def work(ids=ids):
            members.rendezvous("model-1|prompt", ids)

        points.append((count, cpu_us(work, 3)))
    return Slope("rendezvous cpu", "us", "endpoint", "in process", points)


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

        points.append((count, cpu_us(work, 10)))
    return Slope("view cpu", "us", "endpoint", "in process", points)


def hint_memory():
    """Memory of the table of prefix hints against its entries."""

    def build(count):
        table = {}
        for number in range(count):
            table[number.to_bytes(8, "big")] = f"engine-{number % 2_100:05d}"
        return table

    points = [
        (n, memory_bytes(lambda n=n: build(n)))
        for n in (1_024, 2_048, 4_096, 8_192)
    ]
    return Slope("hint memory", "bytes", "hint", "tracemalloc", points)


def share_cpu():
    """Time to count a request into the shares, against the callers."""
    points = []
    for count in (50, 100, 250, 500):
        now = clock.ManualClock()
        table = shares.Shares(now.now)
        for number in range(count):
            table.add(f"caller-{number}", 100)

        def work(table=table):
            table.add("caller-1", 100)
            table.of("caller-1")

        points.append((count, cpu_us(work, 200)))
    return Slope("share cpu", "us", "caller", "in process", points)


def crash_cpu():
    """Time to check a request against the crash marks."""
    points = []
    for count in (10, 50, 100, 200):
        now = clock.ManualClock()
        table = crashes.Crashes(now.now)
        for number in range(count):
            table.add(f"{number:024x}", "engine-1")

        def work(table=table):
            table.is_harmful("none")

        points.append((count, cpu_us(work, 50)))
    return Slope("crash cpu", "us", "marked work", "in process", points)


IN_PROCESS = (
    gossip_bytes,
    gossip_cpu,
    member_memory,
    renewal_cpu,
    renewal_bytes,
    change_cpu,
    view_cost,
    endpoint_memory,
    snapshot_bytes,
    commit_cpu,
    commit_bytes,
    key_memory,
    routing_cpu,
    subset_cpu,
    hint_memory,
    share_cpu,
    crash_cpu,
)


def main():
    """Measure and print."""
    options = docopt.docopt(__doc__)
    only = options["--only"]
    slopes = [
        measure() for measure in IN_PROCESS if only in (None, measure.__name__)
    ]
    for name, measure in slopes_processes.MEASURES.items():
        if only in (None, name):
            slopes.extend(Slope(*row) for row in measure())
    if options["--json"]:
        print(json.dumps([slope._asdict() for slope in slopes], indent=1))
        return
    for slope in slopes:
        print(render(slope))


def render(slope):
    """Return a slope as a line of text."""
    found = fit.line(slope.points)
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
    return (
        f"{slope.name}: {found.base:.4g} + {found.slope:.4g} {slope.unit} a "
        f"{slope.per}, residual {found.residual:.0%} ({slope.how}; {points})"
    )


if __name__ == "__main__":
    main()
