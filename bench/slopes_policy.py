"""Slopes of the decisions that an entry takes for a request."""

from bench import slope
from clementinewall import clock
from clementinewall.entry import shares
from clementinewall.membership import members
from clementinewall.policy import routing


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

        points.append((count, slope.cpu_us(work, max(2, 4_000 // count))))
    return slope.Slope("routing cpu", "us", "candidate", "in process", points)


def subset_cpu():
    """Time to find the subset and the preferred among all endpoints."""
    points = []
    for count in (250, 500, 1_000, 2_100):
        ids = [f"engine-{n:05d}" for n in range(count)]

        def work(ids=ids):
            members.rendezvous("model-1|prompt", ids)

        points.append((count, slope.cpu_us(work, 3)))
    return slope.Slope(
        "rendezvous cpu", "us", "endpoint", "in process", points
    )


def hint_memory():
    """Memory of the table of prefix hints against its entries."""

    def build(count):
        table = {}
        for number in range(count):
            table[number.to_bytes(8, "big")] = f"engine-{number % 2_100:05d}"
        return table

    points = [
        (n, slope.memory_bytes(lambda n=n: build(n)))
        for n in (1_024, 2_048, 4_096, 8_192)
    ]
    return slope.Slope("hint memory", "bytes", "hint", "tracemalloc", points)


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
            table.share("caller-1")

        points.append((count, slope.cpu_us(work, 200)))
    return slope.Slope("share cpu", "us", "caller", "in process", points)
