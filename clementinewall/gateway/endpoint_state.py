"""What this gateway knows of one endpoint: connections, work, cache."""

import contextlib

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import cache_view
from clementinewall.gateway import endpoint_path
from clementinewall.gateway import peer_messages
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import endpoint_health
from clementinewall.policy import prefill_queue
from clementinewall.policy import silence
from clementinewall import verdicts

_log = logs.PartLog("endpoint")

# A host that is down does not refuse connections; waiting for it uses up part
# of the request's target time.
CONNECT_TIMEOUT_MS = 200
# With open requests, an endpoint that sends nothing for so long counts as
# unresponsive.
RESPONSE_TIMEOUT_MS = 1_000
# After such a silence it is checked whether the endpoint can be reached.
SILENCE_CHECK_MS = 400
# Reports are answered at once, whatever work waits.
VERIFY_TIMEOUT_MS = 300
MAX_REPORT_BYTES = 1_000_000


class Withheld(client.LinkBroken):
    """Nothing was sent, since the endpoint wants no request now."""

    def __init__(self):
        """Create the error for an endpoint that rests or named a limit."""
        super().__init__(
            verdicts.Progress.NEVER_CONNECTED,
            "the endpoint asked for rest, or for fewer requests",
        )


class EndpointState:
    """The state of one incarnation of an endpoint."""

    def __init__(self, endpoint, now, limits, relays=None):
        """Start without connections or work.

        ``limits`` are the request limits that endpoints named, ``relays`` the
        gateways through which it may be reached.
        """
        self.endpoint = endpoint
        self._limits = limits
        self._now = now
        self._last_response_at = now()
        self._relays = relays
        self.path = endpoint_path.EndpointPath(
            endpoint.address,
            CONNECT_TIMEOUT_MS,
            relays,
            self._apply_reach,
            now,
        )
        self._pool = client.Pool(self.path, now)
        # Answers to the gateway's own calls bear no attempt id.  They have
        # connections of their own, since an answer that comes late could
        # otherwise be taken for that to another caller's request.
        self._own_call_pool = client.Pool(self.path, now)
        self._rest_until = now()
        self.is_leaving = False
        self.health = endpoint_health.Health()
        self.open = 0
        # Open requests whose answers are not read, since callers are slow.
        self._unread = 0
        self.streams = 0
        # For which its memory is taken by requests of this gateway.
        self.tokens = 0
        self.jobs = []
        # Predicted time of all prompts that were sent to it.
        self.prompt_ms = 0.0
        self.last_prefill_end = now()
        self.load = None
        self.load_at = None
        # The engine takes no work until then because its stage changes.
        self.unavailable_until = 0
        # When its record was found missing, ``None`` while it is there.
        self.missing_since = None
        # Whether a request failed since the process there was last verified.
        self.has_failed = False
        # Tells whether another process may answer at the address by now.
        self.is_doubtful = lambda: False
        self.cache = cache_view.CacheView()

    @property
    def _pools(self):
        return self._pool, self._own_call_pool

    @property
    def rest_ms(self):
        """Return for how many ms the endpoint still wants no requests.

        Either it asked for rest, or this gateway has used its share of a
        limit that the endpoint named.
        """
        return max(self.span_ms, self._limits.wait_ms(self.endpoint))

    @property
    def span_ms(self):
        """Return what is left of the span for which it asked for rest."""
        return max(0, self._rest_until - self._now())

    @property
    def is_limited(self):
        """Tell whether the endpoint has named a request limit."""
        return self._limits.per_second(self.endpoint) is not None

    def use_share(self):
        """Count a request that will be sent by :meth:`acquire_link`.

        It is counted when the endpoint is chosen: a prompt that is prefilled
        elsewhere first must not find the share used up afterwards.
        """
        self._limits.use(self.endpoint)

    def apply_answer(self, head):
        """Apply what the head of an answer says of the endpoint itself."""
        if calls.reports_leaving(head) and not self.is_leaving:
            self.is_leaving = True
            metrics.count("leaving", service=self.endpoint.service)
            _log.info("reports that it leaves", endpoint=self.endpoint.id)
        try:
            asked_ms = calls.decode_rest_ms(head)
        except errors.BadRecord as exc:
            _log.warning(
                "request for rest ignored",
                endpoint=self.endpoint.id,
                why=exc.message,
            )
            return
        if asked_ms and not self.span_ms:
            metrics.count("rests", service=self.endpoint.service)
            _log.info(
                "asked for rest",
                endpoint=self.endpoint.id,
                rest_ms=round(asked_ms),
            )
        self._rest_until = max(self._rest_until, self._now() + asked_ms)

    def apply_request_limit(self, head):
        """Apply the limit that the answer to a caller's request names.

        Other answers, such as reports, need not name it.
        """
        if calls.is_misdirected(head):
            return
        try:
            per_second = calls.decode_request_limit(head)
        except errors.BadRecord as exc:
            _log.warning(
                "request limit ignored",
                endpoint=self.endpoint.id,
                why=exc.message,
            )
            return
        self._limits.record(self.endpoint, per_second)

    async def acquire_link(self, fresh=False):
        """Return a connection for one request, counted by :meth:`use_share`.

        ``fresh`` asks for one that has carried no request yet.

        :raises Withheld: the endpoint has asked for rest.
        :raises LinkBroken: the connection could not be established, or leads
            to another process than that of the record.
        """
        connect = self._pool.connect if fresh else self._pool.acquire
        link = await self._connect(self._pool, connect)
        if self.is_doubtful() and link.is_new:
            link = await self._verified(link)
        return link

    async def _verified(self, link):
        """Return a new link to the process whose record is known.

        :raises LinkBroken: another process answered, or none.
        """
        self.use_share()
        try:
            with anyio.fail_after(clock.seconds(VERIFY_TIMEOUT_MS)):
                await link.send(calls.report_request())
                head = await link.read_head()
                self.apply_answer(head)
                body = await link.read_rest(MAX_REPORT_BYTES)
        except (client.LinkBroken, TimeoutError) as exc:
            self._pool.discard(link)
            raise client.LinkBroken(
                verdicts.Progress.NEVER_CONNECTED,
                "the engine did not report which process it is",
            ) from exc
        except BaseException:
            self._pool.discard(link)
            raise
        born = calls.decode_incarnation(head, body)
        if born not in (None, self.endpoint.incarnation):
            self._pool.discard(link)
            _log.info(
                "another process answers at the address",
                endpoint=self.endpoint.id,
                born=born,
                expected=self.endpoint.incarnation,
            )
            raise client.LinkBroken(
                verdicts.Progress.NEVER_CONNECTED,
                "another process answers at the engine's address",
                absent=True,
            )
        self.has_failed = False
        if calls.is_repeat_recognized(head) and link.prepare_reuse(
            self._now()
        ):
            return link
        self._pool.discard(link)
        return await self._connect(self._pool, self._pool.connect)

    async def _connect(self, pool, connect):
        self._check_rest()
        link = await connect()
        if self.span_ms:
            # It asked for rest while the connection was established.
            pool.discard(link)
            self._check_rest()
        return link

    def release_link(self, link):
        """Return a connection whose answer was read to its end."""
        self._pool.release(link)

    def discard_link(self, link):
        """Close a connection that cannot be used again."""
        self._pool.discard(link)

    async def send_request(
        self, request, max_bytes, fresh=False, follows=False
    ):
        """Send a call of the gateway's own; return its answer's head and body.

        ``fresh`` uses a new connection and closes it afterwards; ``follows``
        tells that it completes what an earlier request began, and does not
        wait for another share of a limit.

        :raises Withheld: the endpoint has asked for rest, or has named a limit
            of which this gateway's share is used up.
        :raises LinkBroken: the exchange failed, or the body is over
            ``max_bytes`` bytes.
        """
        if not follows and not self.span_ms and self.rest_ms:
            self._withhold()
        self.use_share()
        # Engines tell holders of the lease apart by the machine from which an
        # order comes, so what has a connection of its own is never relayed.
        pool = self._own_call_pool
        connect = pool.connect_directly if fresh else pool.acquire
        link = await self._connect(pool, connect)
        return await pool.exchange(
            link,
            request,
            max_bytes,
            fresh,
            self.apply_answer,
            calls.is_repeat_recognized,
        )

    def _check_rest(self):
        if self.span_ms:
            self._withhold()

    def _withhold(self):
        metrics.count("withheld", service=self.endpoint.service)
        raise Withheld()

    def prune_links(self):
        """Close the idle connections whose keep-alive time is over."""
        for pool in self._pools:
            pool.prune()

    def close_links(self):
        """Close all idle connections; the endpoint is gone."""
        for pool in self._pools:
            pool.close()
        self.path.forget()

    def check_path_if_silent(self):
        """Start a check of the path if an answer is waited for."""
        if self._is_silent_for(SILENCE_CHECK_MS):
            self.start_path_check()

    def check_path_if_connected(self):
        """Start a check of the path if there are connections."""
        if any(pool.open_links for pool in self._pools):
            self.start_path_check()

    def start_path_check(self):
        """Start a check of the path, unless one has just been made."""
        if self.path.is_check_due:
            self._relays.start(self.path.check)

    def _apply_reach(self, before, after, after_ms):
        """Apply that the endpoint is reached in another way."""
        _log.info(
            f"reach is {after.value}",
            endpoint=self.endpoint.id,
            service=self.endpoint.service,
            address=self.endpoint.address,
            before=before.value,
            after_ms=after_ms,
        )
        metrics.count(
            "reach_changes", service=self.endpoint.service, reach=after.value
        )
        if after is not endpoint_path.Reach.NONE:
            # What failed before tells of the way, not of the endpoint.
            self.health.record_success()
            self._last_response_at = self._now()
        self.prune_links()
        if after is endpoint_path.Reach.RELAYED:
            self._relays.on_cut()

    def begin(self):
        """Count a request as open."""
        if not self.open:
            self._last_response_at = self._now()
        self.open += 1

    def end(self):
        """Count the end of a request."""
        self.open -= 1

    @contextlib.contextmanager
    def unread(self):
        """Count a request whose answer is not read for a while.

        An endpoint is not silent because its data waits here.
        """
        self._unread += 1
        try:
            yield
        finally:
            if self.open <= self._unread:
                self._last_response_at = self._now()
            self._unread -= 1

    def record_response(self):
        """Record that the endpoint sent data."""
        self._last_response_at = self._now()

    def is_usable(self):
        """Return whether new work may be sent to the endpoint."""
        now = self._now()
        if now < self.unavailable_until or self._is_timed_out():
            return False
        return not self.rest_ms and self.health.is_usable(now)

    def record_failure(self, absent=False):
        """Record a request that failed; ``absent`` if nothing listens there.

        An endpoint that asked for rest has said itself when to try again.
        """
        self.has_failed = True
        if self._has_new_way():
            return
        if absent or not self.span_ms:
            self.health.record_failure(self._now(), absent)

    def _has_new_way(self):
        """Tell whether what fails now was probably sent by another way."""
        return (
            self.path.reach is endpoint_path.Reach.RELAYED
            and self.path.changed_ms < RESPONSE_TIMEOUT_MS
        )

    async def has_crashed(self, failure):
        """Tell whether the endpoint is down after ``failure`` of a send.

        A connection that breaks tells less: it may be this gateway that is
        cut off, or the gateway that carried it that ended.
        """
        if not failure.broken or failure.answer is not None:
            return False
        if failure.verdict is not verdicts.Verdict.MAY_HAVE_RUN:
            return False
        condition = await self.path.check()
        return condition is endpoint_path.Condition.REFUSING

    def is_unavailable(self):
        """Return whether requests to the endpoint would get no answer."""
        return self._now() < self.unavailable_until or self.is_unresponsive()

    def is_unresponsive(self):
        """Return whether the endpoint answers no requests at all.

        A time-out alone is not enough: a single lost answer keeps a request
        open while the endpoint answers all others.
        """
        now = self._now()
        if self.health.is_absent(now):
            return True
        return self._is_timed_out() and not self.health.is_usable(now)

    def may_be_pausing(self):
        """Return whether a sound endpoint could be silent for as long.

        It is then usable but for its silence.
        """
        now = self._now()
        if now < self.unavailable_until or not self.health.is_usable(now):
            return False
        return not self._is_silent_for(silence.SOUND_SILENCE_MS)

    def _is_timed_out(self):
        return self._is_silent_for(RESPONSE_TIMEOUT_MS)

    def _is_silent_for(self, ms):
        is_awaited = self.open > self._unread
        return is_awaited and self._now() - self._last_response_at > ms

    def begin_prompt(self, urgency, cost_ms):
        """Record a prompt sent now; return its job for ``end_prompt``."""
        job = prefill_queue.Job(urgency, cost_ms, self._now())
        self.jobs.append(job)
        self.prompt_ms += cost_ms
        return job

    def end_prompt(self, job, was_read):
        """Record that a prompt was answered or abandoned."""
        self.jobs.remove(job)
        if was_read:
            self.last_prefill_end = self._now()

    def own_work(self):
        """Return this gateway's unfinished work."""
        return peer_messages.Work(
            tuple(self.jobs), self.streams, self.last_prefill_end, self.tokens
        )
