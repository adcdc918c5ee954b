"""Origins of streams that are written to the store and read from it."""

import contextlib
import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall import errors
from clementinewall import logs
from clementinewall.origins import log_reader
from clementinewall.origins import log_writer
from clementinewall.origins import origin_log
from clementinewall.origins import origin_records
from clementinewall.origins import row_queue
from clementinewall.platform import store
from clementinewall.policy import origin_writes

LIFETIME_MS = 60_000
LIMIT_MS = 3_000
PAGE = 2


def warnings():
    """Return a context in which warnings are counted."""
    return mock.patch.object(logs.PartLog, "warning", autospec=True)


class Topic:
    """A topic of the store, and what goes wrong with it."""

    def __init__(self):
        """Begin empty and well."""
        self.records = []
        self.first = 0
        self.is_away = False
        self.reads = []
        self.clients = 0
        self.held = None

    def client(self, *_):
        """Return a client of the store."""
        self.clients += 1
        return self

    def close(self):
        """Close a client."""

    async def append(self, _topic, key, value):
        """Append a record."""
        if self.is_away:
            raise errors.LogUnavailable("away")
        self.records.append((key, value))

    async def read(self, _topic, start):
        """Return a page of records."""
        end = len(self.records)
        self.reads.append(start)
        if self.held is not None:
            await self.held.wait()
        if self.is_away:
            raise errors.LogUnavailable("away")
        if start < self.first:
            raise store.HistoryExpired("expired", self.first)
        page = [
            store.Record(*self.records[offset], offset)
            for offset in range(start, min(end, start + PAGE))
        ]
        after = start + len(page)
        return store.Batch(tuple(page), after, after >= end)

    def attempts(self):
        """Return the attempts in each record."""
        return [
            [row.attempt for row in origin_records.decode(value)]
            for _, value in self.records
        ]


class Logs(unittest.IsolatedAsyncioTestCase):
    """Gateways that share a topic."""

    async def asyncSetUp(self):
        """Shorten the intervals."""
        self.topic = Topic()
        for owner, name, value in (
            (store, "Store", self.topic.client),
            (log_writer, "FIRST_DELAY_MS", 5),
            (log_reader, "MIN_RETRY_MS", 5),
            (origin_writes, "MIN_INTERVAL_MS", 10),
        ):
            patch = mock.patch.object(owner, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    @contextlib.asynccontextmanager
    async def gateway(self, keep_ms=None, record_bytes=65_536):
        """Run a log; yield it and the rows that it reads."""
        settings = domain.Settings(
            *("a", "10.0.0.1", "a", "c", "r", "d", 1, "s", domain.Bounds()),
            store_limits=domain.StoreLimits(
                40_000, 40_000, record_bytes, keep_ms
            ),
        )
        rows = []
        log = origin_log.OriginLog(
            settings,
            lambda: 3,
            clock.Clock().now,
            lambda *row: rows.append(row),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(log.run)
            yield log, rows
            group.cancel_scope.cancel()

    async def until(self, condition):
        """Wait until a condition holds."""
        with anyio.fail_after(clock.seconds(LIMIT_MS)):
            while not condition():
                await anyio.sleep(0.002)

    async def test_another_gateway_reads_all_that_was_added(self):
        added = [(f"a{n}", "s", f"v{n % 3}", LIFETIME_MS) for n in range(99)]
        async with self.gateway(record_bytes=900) as (log, _):
            for row in added:
                log.add(*row)
            await self.until(lambda: len(sum(self.topic.attempts(), [])) == 99)
        self.assertGreater(len(self.topic.records), PAGE)
        self.topic.records.insert(1, ("10.0.0.9", b"another build's"))
        async with self.gateway() as (log, rows):
            with warnings() as warning:
                self.assertTrue(await log.read(LIMIT_MS))
            self.assertEqual(warning.call_count, 1)
            self.assertEqual(sorted(rows), sorted(added))
            self.assertTrue(await log.read(LIMIT_MS))
            self.assertEqual(len(rows), len(added))

    async def test_rows_that_come_together_share_a_record(self):
        async with self.gateway() as (log, _):
            for number in range(40):
                log.add(str(number), "s", "v", LIFETIME_MS)
            await self.until(lambda: self.topic.records)
            self.assertEqual(len(self.topic.attempts()[0]), 40)

    async def test_no_connection_before_the_first_row(self):
        async with self.gateway() as (log, _):
            log.discard("a")
            await anyio.sleep(0.03)
            self.assertEqual(self.topic.clients, 0)
            self.assertTrue(await log.read(LIMIT_MS))
            self.assertEqual(self.topic.clients, 1)

    async def test_streams_that_run_are_written_again(self):
        async with self.gateway(keep_ms=100) as (log, _):
            log.add("a", "s", "v", LIFETIME_MS)
            await self.until(lambda: len(self.topic.records) >= 3)
        self.assertEqual(self.topic.attempts()[:3], [["a"]] * 3)

    async def test_rows_wait_for_a_store_that_is_away(self):
        # Guards against rows that are lost with a refused append.
        self.topic.is_away = True
        async with self.gateway() as (log, _), anyio.create_task_group() as g:
            with warnings() as warning:
                log.add("runs", "s", "v", LIFETIME_MS)
                log.add("ends", "s", "v", LIFETIME_MS)
                self.assertFalse(await log.read(20))
                g.start_soon(log.read, LIMIT_MS)
                await self.until(lambda: len(self.topic.reads) > 2)
                await self.until(lambda: warning.call_count == 2)
            log.discard("ends")
            self.topic.is_away = False
            await self.until(lambda: self.topic.records)
            self.assertEqual(self.topic.attempts(), [["runs"]])
            self.assertTrue(await log.read(LIMIT_MS))

    async def test_an_expired_history_is_read_from_its_first_record(self):
        value, _ = origin_records.encode(
            [origin_records.Row("a", "s", "v", LIFETIME_MS)], 9_000
        )
        self.topic.records = [("k", value)] * 5
        self.topic.first = 3
        async with self.gateway() as (log, rows):
            self.assertTrue(await log.read(LIMIT_MS))
            self.assertEqual(self.topic.reads, [0, 3])
            self.assertEqual(len(rows), 2)

    async def test_callers_share_a_read_that_began_after_them(self):
        # Guards against a read that began before the row was appended.
        value, _ = origin_records.encode(
            [origin_records.Row("a", "s", "v", LIFETIME_MS)], 9_000
        )
        self.topic.held = anyio.Event()
        found = []
        async with self.gateway() as (log, rows):

            async def read():
                await log.read(LIMIT_MS)
                found.append(len(rows))

            async with anyio.create_task_group() as group:
                group.start_soon(log.read, LIMIT_MS)
                await self.until(lambda: self.topic.reads)
                self.topic.records.append(("k", value))
                for _ in range(9):
                    group.start_soon(read)
                await anyio.sleep(0.01)
                self.topic.held.set()
            await anyio.sleep(0.05)
        self.assertEqual(found, [1] * 9)
        self.assertEqual(len(self.topic.reads), 2)

    async def test_a_silent_store_is_not_waited_for(self):
        self.topic.held = anyio.Event()
        async with self.gateway() as (log, _):
            self.assertFalse(await log.read(20))
            self.topic.held.set()
            self.assertTrue(await log.read(LIMIT_MS))


class Queue(unittest.TestCase):
    """Rows of one gateway."""

    def setUp(self):
        """Begin with an empty queue of three rows at most."""
        self.ticker = clock.ManualClock(1_000)
        patch = mock.patch.object(row_queue, "MAX_ROWS", 3)
        patch.start()
        self.addCleanup(patch.stop)
        self.queue = row_queue.RowQueue(10_000, self.ticker.now)

    def waiting(self):
        """Return the attempts that wait."""
        return [row.attempt for row in self.queue.rows()]

    def test_the_oldest_rows_are_dropped(self):
        with warnings() as warning:
            for attempt in "abcade":
                self.queue.add(attempt, "s", "v", LIFETIME_MS)
        self.assertEqual(self.waiting(), ["a", "d", "e"])
        self.assertEqual(warning.call_count, 1)

    def test_rows_are_dropped_when_their_lifetime_is_over(self):
        self.queue.add("a", "s", "v", 500)
        self.queue.add("b", "s", "v", 700)
        self.ticker.advance(500)
        self.assertEqual(list(self.queue.rows())[0].lifetime_ms, 200)
        self.assertEqual(len(self.queue), 1)

    def test_a_repeat_comes_after_half_of_what_the_store_keeps(self):
        self.queue.add("runs", "s", "v", LIFETIME_MS)
        self.queue.add("ends", "s", "v", LIFETIME_MS)
        self.queue.add("short", "s", "v", 9_999)
        self.queue.record_written(list(self.queue.rows()))
        self.queue.discard("ends")
        self.ticker.advance(9_999)
        self.queue.make_due()
        self.assertEqual(self.waiting(), [])
        self.ticker.advance(1)
        self.queue.make_due()
        self.assertEqual(self.waiting(), ["runs"])

    def test_a_row_that_changed_while_it_was_written_waits(self):
        # Guards against the version before a stream began anew.
        self.queue.add("a", "s", "v", LIFETIME_MS)
        rows = list(self.queue.rows())
        self.queue.add("a", "s", "w", LIFETIME_MS)
        self.queue.record_written(rows)
        self.assertEqual(self.waiting(), ["a"])

    def test_without_a_known_time_nothing_is_repeated(self):
        queue = row_queue.RowQueue(None, self.ticker.now)
        queue.add("a", "s", "v", LIFETIME_MS)
        queue.record_written(list(queue.rows()))
        self.assertIsNone(queue.next_repeat_at())


if __name__ == "__main__":
    unittest.main()
