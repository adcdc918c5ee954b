"""Sends a request to one endpoint and reads the head of the answer."""

import contextlib

from clementinewall.gateway import exchange as exchanges
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall.platform import calls
from clementinewall import verdicts

_log = logs.PartLog("send")

MAX_ANSWER_BYTES = 8_000_000


class SentRequest:
    """A request that was sent; ``link`` is at the body of its answer."""

    def __init__(self, state, link, head):
        """Take the link and the head of the answer read from it."""
        self.state = state
        self.link = link
        self.head = head
        self.is_complete = False

    async def read_all(self):
        """Return the rest of the body.

        :raises AttemptFailed: the connection broke before its end.
        """
        try:
            body = await self.link.read_rest(MAX_ANSWER_BYTES)
        except client.LinkBroken as exc:
            raise self.failure(exc.why, broken=True) from exc
        self.is_complete = True
        return body

    async def read_part(self, silence_timeout_ms=None):
        """Return the next bytes of the body, ``None`` at its regular end.

        :raises AttemptFailed: the connection broke, or nothing arrived for
            ``silence_timeout_ms``.
        """
        try:
            part = await self.link.read_part(silence_timeout_ms)
        except client.LinkBroken as exc:
            raise self.failure(exc.why, broken=True) from exc
        except TimeoutError as exc:
            raise self.failure(
                f"silent for {silence_timeout_ms:.0f} ms"
            ) from exc
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
async def send(call, state, request, now, silence_timeout_ms=None):
    """Send ``request``, wait for the head and yield a :class:`SentRequest`.

    The link goes back to the pool only if the answer was read to its end;
    otherwise it is closed.

    :raises AttemptFailed: the connection failed, no head arrived within
        ``silence_timeout_ms``, or the endpoint refused; its verdict says
        whether the request may have run.
    """
    link = None
    sent = None
    state.begin()
    try:
        link = await state.acquire_link()
        try:
            await link.send(request, silence_timeout_ms)
            head = await _matching_head(call, link, silence_timeout_ms)
        except TimeoutError as exc:
            raise exchanges.AttemptFailed(
                verdicts.verdict_of(link.progress),
                f"silent for {silence_timeout_ms:.0f} ms",
                state.endpoint.id,
            ) from exc
        state.record_response()
        sent = SentRequest(state, link, head)
        state.apply_answer(head)
        _record_load(state, head, now())
        if calls.reports_not_run(head):
            await sent.read_all()
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


async def _matching_head(call, link, silence_timeout_ms):
    """Return the head of the answer to this call.

    An endpoint may send a late second answer to an earlier request.
    Forwarding it would give one caller the answer of another.
    """
    head = await link.read_head(silence_timeout_ms)
    while not calls.is_answer_to(head, call):
        _log.warning(
            "dropped an answer to another request on this connection",
            request=call.attempt,
            status=head.status,
        )
        await link.read_rest(MAX_ANSWER_BYTES)
        link.expect_another()
        head = await link.read_head(silence_timeout_ms)
    return head


def _record_load(state, head, now):
    load = calls.decode_load(head)
    if load is not None:
        state.load = load
        state.load_at = now


def _release_link(state, link, sent):
    if sent is not None and sent.is_complete:
        state.release_link(link)
    else:
        state.discard_link(link)
