"""Sends a request to one endpoint and reads the head of the answer."""

import contextlib

from clementinewall.gateway import exchange as exchanges
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall import verdicts

_log = logs.PartLog("send")

# Answers that are kept whole, such as errors and the handles of prefills.
MAX_ANSWER_BYTES = 262_144
# What is read of a refusal, so that its connection can be used again.
MAX_REFUSAL_BYTES = 65_536
# Late answers to earlier requests of a connection that are dropped, and how
# much of each is read.
MAX_LATE_ANSWERS = 3
MAX_LATE_BYTES = 8_000_000


class SentRequest:
    """A request that was sent; ``link`` is at the body of its answer."""

    def __init__(self, state, link, head, watch=None):
        """Take the link and the head of the answer read from it."""
        self.state = state
        self.link = link
        self.head = head
        self._watch = watch
        self.is_complete = False

    async def read_all(self):
        """Return the rest of the body.

        :raises AttemptFailed: as for :meth:`read_part`, or the body is over
            ``MAX_ANSWER_BYTES`` long.
        """
        parts = []
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise self.failure(
                    f"the answer's body is over {MAX_ANSWER_BYTES} bytes",
                    broken=True,
                )
            parts.append(part)
        return b"".join(parts)

    async def skip_refusal(self):
        """Read the body of a refusal unless it is long, and keep nothing.

        :raises AttemptFailed: as for :meth:`read_part`.
        """
        size = 0
        while size <= MAX_REFUSAL_BYTES and not self.is_complete:
            size += len(await self.read_part() or b"")

    async def read_part(self):
        """Return the next bytes of the body, ``None`` at its regular end.

        :raises AttemptFailed: the connection broke, or the watch of the send
            gave the endpoint up.
        """
        try:
            part = await _wait(self._watch, self.link.read_part)
        except client.LinkBroken as exc:
            raise self.failure(exc.why, broken=True) from exc
        except TimeoutError as exc:
            raise self.failure(str(exc)) from exc
        self.state.record_response()
        self.is_complete = part is None
        return part

    def failure(
        self,
        why,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        answer=None,
        broken=False,
    ):
        """Return the error for an answer that cannot be used."""
        return exchanges.AttemptFailed(
            verdict, why, self.state.endpoint.id, answer, broken
        )


@contextlib.asynccontextmanager
async def send(exchange, state, request, now, watch=None):
    """Send ``request``, wait for the head and yield a :class:`SentRequest`.

    Answers are told apart by the attempt id, so no connection carries two
    requests of one exchange: a late second answer to the first of them would
    be taken for that to the other.

    The link goes back to the pool only if the answer was read to its end;
    otherwise it is closed.  ``watch`` is a ``SilenceWatch``; without one a
    silent endpoint is waited for.

    :raises AttemptFailed: the connection failed, the watch gave the endpoint
        up, or the endpoint refused; its verdict says whether the request may
        have run.
    """
    call = exchange.call
    link = None
    sent = None
    state.begin()
    try:
        link = await state.acquire_link(
            fresh=state.endpoint.id in exchange.sent_to_ids
        )
        exchange.sent_to_ids.add(state.endpoint.id)
        if link.stream.relay_ip is not None:
            _log_relayed(call, state, link)
        try:
            await _send_whole(link, request, watch)
            head = await _matching_head(call, link, watch)
        except TimeoutError as exc:
            raise exchanges.AttemptFailed(
                verdicts.verdict_of(link.progress),
                str(exc),
                state.endpoint.id,
            ) from exc
        state.record_response()
        sent = SentRequest(state, link, head, watch)
        state.apply_answer(head)
        state.apply_request_limit(head)
        _record_load(state, head, now())
        if calls.reports_not_run(head):
            await sent.skip_refusal()
            failure = sent.failure(
                f"refused with {head.status}", verdicts.Verdict.NOT_RUN
            )
            failure.absent = calls.is_misdirected(head)
            raise failure
        yield sent
    except client.LinkBroken as exc:
        reached = exc.progress is not verdicts.Progress.NEVER_CONNECTED
        raise exchanges.AttemptFailed(
            verdicts.verdict_of(exc.progress),
            exc.why,
            state.endpoint.id,
            broken=True,
            reached=reached,
            absent=exc.absent,
        ) from exc
    finally:
        state.end()
        if link is not None:
            _release_link(state, link, sent)


async def _wait(watch, receive):
    if watch is None:
        return await receive()
    return await watch.wait(receive)


async def _send_whole(link, request, watch):
    is_begun = False

    async def send_rest(limit_ms=None):
        nonlocal is_begun
        if is_begun:
            await link.finish_sending(limit_ms)
            return
        is_begun = True
        await link.send(request, limit_ms)

    await _wait(watch, send_rest)


async def _matching_head(call, link, watch):
    """Return the head of the answer to this call.

    An endpoint may send a late second answer to an earlier request.
    Forwarding it would give one caller the answer of another.
    """
    head = await _wait(watch, link.read_head)
    dropped = 0
    while not calls.is_answer_to(head, call):
        dropped += 1
        if dropped > MAX_LATE_ANSWERS:
            raise client.LinkBroken(
                link.progress, "answers to other requests only"
            )
        _log.warning(
            "dropped an answer to another request on this connection",
            request=call.attempt,
            status=head.status,
        )
        await link.skip_rest(MAX_LATE_BYTES)
        link.expect_another()
        head = await _wait(watch, link.read_head)
    return head


def _log_relayed(call, state, link):
    metrics.count("sends_relayed", service=state.endpoint.service)
    _log.info(
        "sent through another gateway",
        request=call.attempt,
        endpoint=state.endpoint.id,
        by=link.stream.relay_ip,
    )


def _record_load(state, head, now):
    load = calls.decode_load(head)
    if load is not None:
        state.load = load
        state.load_at = now


def _release_link(state, link, sent):
    if (
        sent is not None
        and sent.is_complete
        and calls.is_repeat_recognized(sent.head)
    ):
        state.release_link(link)
    else:
        state.discard_link(link)
