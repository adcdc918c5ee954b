"""Slopes of membership: datagrams, the table of members, crash records."""

from bench import slope
from clementinewall import clock
from clementinewall.membership import crashes
from clementinewall.membership import members
from clementinewall.membership import wire
from clementinewall import settings

CODEC = wire.Codec("token")


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


def _message(table):
    rows = table.message_rows()
    beats = tuple((r.id, r.incarnation, r.beat, r.version) for r in rows)
    own = (table.own,)
    datagram = wire.Datagram(wire.HELLO, own[0].id, 1, own, beats=beats)
    return wire.split(datagram, CODEC)


def gossip_bytes():
    """Bytes of one gossip message against members of the data centre."""
    points = [(n, sum(map(len, _message(_table(n))))) for n in (8, 16, 35, 70)]
    return slope.Slope("gossip bytes", "bytes", "member", "encoded", points)


def gossip_cpu():
    """Processor time to encode one message and apply one."""
    points = []
    for count in (8, 16, 35, 70):
        table = _table(count)
        raws = _message(table)

        def work(table=table, raws=raws):
            _message(table)
            for raw in raws:
                for beat in CODEC.decode(raw).beats:
                    table.merge_heartbeat(beat)

        points.append((count, slope.cpu_us(work, 20)))
    return slope.Slope("gossip cpu", "us", "member", "in process", points)


def member_memory():
    """Memory of the table against its members."""
    points = [
        (n, slope.memory_bytes(lambda n=n: _table(n)))
        for n in (50, 100, 200, 400)
    ]
    return slope.Slope(
        "member memory", "bytes", "member", "tracemalloc", points
    )


def crash_cpu():
    """Time to check a request against the crash records."""
    points = []
    for count in (10, 50, 100, 200):
        now = clock.ManualClock()
        table = crashes.CrashTable(now.now)
        for number in range(count):
            table.add(f"{number:024x}", "engine-1")

        def work(table=table):
            table.is_harmful("none")

        points.append((count, slope.cpu_us(work, 50)))
    return slope.Slope("crash cpu", "us", "marked work", "in process", points)
