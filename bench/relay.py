"""The same load straight to an engine and through one entry.

Usage:
  relay [--rate=R] [--seconds=S] [--rounds=N] [--json]

Options:
  --rate=R     Requests a second [default: 25].
  --seconds=S  Length of a round [default: 6].
  --rounds=N   Rounds of each, taken in turn [default: 3].

The caller is a plain TCP client, so that the entry dominates the measured
time.  Tokens per core second are the tokens relayed divided by the processor
time of the entry's process.
"""

import functools
import json
import statistics
import time

import anyio
import docopt

from bench import slopes_processes
from standins import bringup

TOKENS = 30
OPEN_STREAMS = 200
OPEN_TOKENS = 400


class RoundResult:
    """Measurements of one round, in milliseconds."""

    def __init__(self):
        """Start empty."""
        self.firsts = []
        self.gaps = []
        self.tokens = 0


def _request(prompt, tokens):
    body = json.dumps(
        {
            "model": bringup.MODEL,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


async def _stream(address, prompt, tokens, result):
    host, _, port = address.rpartition(":")
    begin = time.perf_counter()
    async with await anyio.connect_tcp(host, int(port)) as connection:
        await connection.send(_request(prompt, tokens))
        last = None
        try:
            while True:
                piece = await connection.receive(65536)
                if b"data:" not in piece:
                    continue
                now = time.perf_counter()
                if last is None:
                    result.firsts.append((now - begin) * 1e3)
                else:
                    result.gaps.append((now - last) * 1e3)
                last = now
                result.tokens += piece.count(b"data:")
        except anyio.EndOfStream:
            return


async def _load(address, rate, seconds):
    result = RoundResult()
    async with anyio.create_task_group() as group:
        for number in range(int(rate * seconds)):
            prompt = f"bench {number}"
            group.start_soon(_stream, address, prompt, TOKENS, result)
            await anyio.sleep(1 / rate)
    return result


async def _hold_open(address, count, measure):
    result = RoundResult()
    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(
                _stream, address, f"open {number}", OPEN_TOKENS, result
            )
            await anyio.sleep(0.01)
        await anyio.sleep(1.0)
        value = measure()
        group.cancel_scope.cancel()
    return value


def measure(rate, seconds, rounds):
    """Return the figures of all rounds by name."""
    with bringup.Deployment() as dep:
        dep.platform()
        dep.classes()
        slots = f"--slots={OPEN_STREAMS * 2}"
        dep.engine("engine-1", "a", options=["--gap-ms=30", slots])
        log_settings = {"logging": {"level": "WARNING"}}
        dep.instance("entry-1", "a", "entry", **log_settings)
        dep.list_instances(["entry-1"])
        dep.publish()
        dep.wait_ready(["entry-1"])
        direct = dep.address_by_name["engine-1"]
        through = dep.callers("entry-1").removeprefix("http://")
        pid = dep.process_by_name["entry-1"].pid
        found = {"direct": [], "through": []}
        cpu = tokens = 0
        anyio.run(_load, through, rate, 1.0)
        for _ in range(rounds):
            found["direct"].append(anyio.run(_load, direct, rate, seconds))
            before = slopes_processes.cpu_ticks(pid)
            found["through"].append(anyio.run(_load, through, rate, seconds))
            cpu += slopes_processes.cpu_ticks(pid) - before
            tokens += found["through"][-1].tokens
        resident = functools.partial(slopes_processes.resident_bytes, pid)
        empty = resident()
        full = anyio.run(_hold_open, through, OPEN_STREAMS, resident)
    return _figures(found, cpu, tokens, empty, full)


def _figures(found, cpu, tokens, empty, full):
    def median(kind, values):
        return statistics.median(
            statistics.median(getattr(r, values)) for r in found[kind]
        )

    def p95(kind):
        return statistics.median(
            statistics.quantiles(r.gaps, n=20)[18] for r in found[kind]
        )

    seconds = cpu / slopes_processes.TICKS
    return {
        "first_direct_ms": median("direct", "firsts"),
        "first_through_ms": median("through", "firsts"),
        "first_added_ms": median("through", "firsts")
        - median("direct", "firsts"),
        "gap_p95_direct_ms": p95("direct"),
        "gap_p95_through_ms": p95("through"),
        "gap_p95_added_ms": p95("through") - p95("direct"),
        "tokens_a_core_second": tokens / seconds if seconds else 0.0,
        "resident_mb": empty / 1e6,
        "kb_a_stream": (full - empty) / OPEN_STREAMS / 1e3,
    }


def main():
    """Measure and print."""
    options = docopt.docopt(__doc__)
    figures = measure(
        float(options["--rate"]),
        float(options["--seconds"]),
        int(options["--rounds"]),
    )
    if options["--json"]:
        print(json.dumps(figures))
        return
    for name, value in figures.items():
        print(f"{name:<22}{value:10.2f}")


if __name__ == "__main__":
    main()
