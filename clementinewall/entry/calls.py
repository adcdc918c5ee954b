"""Calls to plain services: idempotent calls and bookings.

An idempotent call is retried until it is answered or its attempts are used
up.  A booking is forwarded to the owner of its key, an entry that commits an
intent to the log before it dispatches, see
``clementinewall.records.bookings``.  Any other entry may act as the owner at
any time: the log allows only one of them to dispatch.
"""

import base64
import hashlib
import secrets
import typing

import anyio

from clementinewall import _schema
from clementinewall import _web
from clementinewall import containment
from clementinewall.endpoints import attempt
from clementinewall.entry import crash_guard
from clementinewall.entry import partition
from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import members
from clementinewall import metrics
from clementinewall.records import bookings
from clementinewall import verdicts

_log = logs.PartLog("call")

MAX_ATTEMPTS = 3
MAX_OWNERS_TRIED = 3
# A process doesn't dispatch its own intent once it is older than this: after
# so long a pause the log may have dropped the intent, so that another process
# may run the call.
MAX_INTENT_AGE_MS = 10_000
# An owner that doesn't answer for this long may be paused.  Trying another
# is safe even if the owner is only slow, because the log allows only one of
# the two to dispatch.
FORWARD_TIMEOUT_MS = 1_500
OWNER_CHECK_INTERVAL_MS = 500
BOOKINGS_PATH = "/control/bookings"
TICKET_BYTES = 12


class Call(typing.NamedTuple):
    """A call to a service, as it is sent to the owner of its key."""

    request_id: str
    caller: str
    class_name: str
    service: str
    method: str
    path: str
    key: str
    body: str
    media_type: str
    deadline_ms: int
    trace: str | None = None


class Answer(typing.NamedTuple):
    """The service's answer.

    ``kept`` tells that it is the recorded answer to an earlier copy.
    """

    status: int
    body: str
    media_type: str
    kept: bool = False


class Calls:
    """Serves service calls; one per entry."""

    def __init__(self, node, loads, guard):
        """Choose endpoints by ``loads`` and ``guard``."""
        self._node = node
        self._loads = loads
        self._guard = guard
        self._http = attempt.single_call_client()
        self._partition_by_number = {}
        self._group = None

    async def run(self):
        """Run the tasks of the partitions in use."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def flush(self):
        """Wait a limited time until pending outcomes are committed."""
        for part in self._partition_by_number.values():
            await part.flush()

    async def make_ticket(self, caller):
        """Return a key that never runs twice, however late it is used.

        :raises LogUnavailable: the bookings cannot be read.
        """
        random_part = secrets.token_hex(TICKET_BYTES)
        number = bookings.partition_of(f"{caller}/{random_part}")
        part = self._partition(number)
        await part.wait_ready(partition.READ_BACK_TIMEOUT_MS)
        return bookings.make_ticket(number, part.table.next, random_part)

    async def run_idempotent(self, call):
        """Answer a call that may run more than once."""
        return await self._dispatch(call, idempotent=True)

    async def run_booking(self, call):
        """Answer a call that may run at most once, through its owner."""
        deadline = self._node.clock.now() + call.deadline_ms
        for owner in self._owners(call.key):
            remaining_ms = deadline - self._node.clock.now()
            if owner.id == self._node.id or remaining_ms <= 0:
                break
            try:
                return await self._forward(owner, call, remaining_ms)
            except errors.EndpointFailed as exc:
                _log.warning(
                    "owner of the key did not answer; trying the next entry",
                    request=call.request_id,
                    home=owner.id,
                    error=exc.message,
                )
        # Whatever those owners did, their intents are in the log or will be
        # too late: acting as the owner here cannot run the call twice.
        remaining_ms = max(1, deadline - self._node.clock.now())
        return await self.run_as_owner(call._replace(deadline_ms=remaining_ms))

    async def run_as_owner(self, call):
        """Commit the intent, dispatch it and record the outcome."""
        part = self._partition(bookings.partition_of(call.key))
        await part.wait_ready(
            min(call.deadline_ms, partition.READ_BACK_TIMEOUT_MS)
        )
        digest = _digest(call)
        booking = part.booking(call.key)
        if booking is None or booking.state == "not_run":
            self._check_new_key(part, call)
            self._guard.check(digest, verdicts.Verdict.NOT_RUN)
            intent = bookings.Intent(secrets.token_hex(8), call.key, digest)
            announced_at = self._node.clock.now()
            booking = await part.announce(intent)
            if booking.intent.id == intent.id and booking.state == "open":
                return await self._run_once(part, call, intent, announced_at)
        if booking.intent.digest != digest:
            raise errors.KeyReused("the key was used for a different request")
        return await self._await_outcome(part, call)

    def _check_new_key(self, part, call):
        if part.table.is_expired(call.key):
            raise errors.KeyExpired(
                "the ticket is older than the log's oldest record"
            )
        if part.table.is_full:
            raise errors.BookingsFull(
                "too many keys are stored", retry_after_ms=10_000
            )

    async def _run_once(self, part, call, intent, announced_at):
        """Dispatch the call, whose intent this process has committed."""

        def record_outcome(state, **outcome_fields):
            part.record_outcome(
                bookings.Outcome(
                    intent.id, intent.key, state, **outcome_fields
                )
            )

        waited_ms = self._node.clock.now() - announced_at
        if waited_ms > MAX_INTENT_AGE_MS:
            record_outcome("not_run")
            raise errors.LogUnavailable(
                f"committing took {waited_ms} ms; the call was not run",
                retry_after_ms=1_000,
            )
        try:
            answer = await self._dispatch(call, idempotent=False)
        except errors.ClementinewallError as exc:
            is_not_run = exc.verdict is verdicts.Verdict.NOT_RUN
            record_outcome("not_run" if is_not_run else "in_doubt")
            raise
        body = answer.body
        if len(body) > bookings.MAX_KEPT_BODY_CHARS:
            body = ""
        record_outcome(
            "ran",
            status=answer.status,
            body=body,
            media_type=answer.media_type,
        )
        return answer

    async def _await_outcome(self, part, call):
        """Wait for the outcome of another copy of the call."""
        deadline = self._node.clock.now() + call.deadline_ms
        while True:
            booking = part.booking(call.key)
            if booking is None or booking.state == "not_run":
                raise errors.NoEndpoint(
                    "an earlier copy of this call was not run",
                    retry_after_ms=200,
                )
            if booking.state == "ran":
                return _recorded_answer(booking.outcome)
            remaining_ms = deadline - self._node.clock.now()
            is_orphaned = (
                booking.state == "open"
                and not self._node.members.may_run(booking.by)
            )
            if booking.state == "in_doubt" or is_orphaned or remaining_ms <= 0:
                raise errors.BookingInDoubt(
                    "a call with this key was started and has no outcome",
                    retry_after_ms=None if is_orphaned else 1_000,
                )
            await part.wait_change(min(remaining_ms, OWNER_CHECK_INTERVAL_MS))

    async def _dispatch(self, call, idempotent):
        """Try endpoints until one answers or no further try is allowed."""
        digest = _digest(call)
        deadline = self._node.clock.now() + call.deadline_ms
        failed = set()
        last = None
        for _ in range(MAX_ATTEMPTS):
            verdict = last.verdict if last else verdicts.Verdict.NOT_RUN
            self._guard.check(digest, verdict)
            name = self._choose(call, digest, failed, verdict)
            remaining_ms = deadline - self._node.clock.now()
            if name is None or remaining_ms <= 0:
                break
            try:
                return await self._attempt(call, name, remaining_ms)
            except errors.EndpointFailed as exc:
                last = exc
                failed.add(name)
                await self._after_failure(call, digest, name, exc)
                if not verdicts.may_retry(exc.verdict, idempotent):
                    raise
        if last is not None:
            raise last
        raise errors.NoEndpoint(
            f"no endpoint of service {call.service!r} is available",
            retry_after_ms=1_000,
        )

    def _choose(self, call, digest, failed, verdict):
        work = crash_guard.Work(digest, "service", call.service, digest)
        only = self._guard.remaining_endpoint(work, failed, verdict)
        return only or self._loads.least_busy(call.service, digest, failed)

    async def _attempt(self, call, name, timeout_ms):
        endpoint = self._loads.endpoint(name)
        headers = {
            "content-type": call.media_type,
            "x-request-id": call.request_id,
            "idempotency-key": call.key,
        }
        if call.trace:
            headers["traceparent"] = call.trace
        request = self._http.build_request(
            call.method,
            f"http://{endpoint.address}{call.path}",
            content=base64.b64decode(call.body),
            headers=headers,
        )
        _log.info(
            "chose an endpoint",
            request=call.request_id,
            service=call.service,
            endpoint=name,
        )
        self._loads.record_sent(name, 0)
        try:
            answer = await attempt.call(self._http, name, request, timeout_ms)
        finally:
            self._loads.record_end(name)
        self._loads.record_answer(name)
        metrics.count("called", work_class=call.class_name)
        media_type = answer.headers.get("content-type", "")
        return Answer(answer.status_code, answer.text, media_type)

    async def _after_failure(self, call, digest, name, exc):
        _log.warning(
            "call to an endpoint failed",
            request=call.request_id,
            endpoint=name,
            verdict=exc.verdict.value,
            error=exc.message,
        )
        self._loads.record_failure(name)
        if exc.verdict is not verdicts.Verdict.NOT_RUN:
            await self._guard.record_failure(
                digest, call.request_id, name, strong=True
            )

    async def _forward(self, owner, call, timeout_ms):
        """Send the call to its owner and return the answer.

        :raises EndpointFailed: the owner returned no valid answer.
        """
        token = self._node.settings.security.control_token
        request = self._http.build_request(
            "POST",
            f"http://{owner.control}{BOOKINGS_PATH}",
            json=_schema.plain(call._replace(deadline_ms=timeout_ms)),
            headers={"Authorization": f"Bearer {token}"},
        )
        limit_ms = min(timeout_ms, FORWARD_TIMEOUT_MS)
        answer = await attempt.call(self._http, owner.id, request, limit_ms)
        if answer.status_code != 200:
            error = _web.error_of_problem(answer.content)
            if error is None or isinstance(error, errors.NotReady):
                raise errors.EndpointFailed(f"{owner.id}: no usable answer")
            raise error
        value, mistakes = _schema.build(Answer, answer.json())
        if mistakes:
            raise errors.EndpointFailed(f"{owner.id}: {mistakes[0]}")
        return value

    def _owners(self, key):
        """Return the entries to try as owner of the key, in order.

        They are chosen among the members that every node knows.  While the
        membership is stable all entries agree on them, so that a partition
        is read by one entry and not by hundreds.
        """
        rows = {r.id: r for r in self._node.members.representatives("entry")}
        number = bookings.partition_of(key)
        order = members.rendezvous(f"bookings-{number}", list(rows))
        return [rows[name] for name in order[:MAX_OWNERS_TRIED]]

    def _partition(self, number):
        known = self._partition_by_number.get(number)
        if known is None:
            known = partition.Partition(number, self._node)
            self._partition_by_number[number] = known
            self._group.start_soon(
                containment.keep_running, _log, "a partition", known.run
            )
        return known


def _digest(call):
    text = f"{call.caller}|{call.method}|{call.path}|{call.body}"
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


def _recorded_answer(outcome):
    return Answer(outcome.status, outcome.body, outcome.media_type, True)
