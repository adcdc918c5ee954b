"""The load report that an endpoint returns for ``GET /state``."""

import typing

import httpx

from clementinewall import _schema
from clementinewall import errors
from clementinewall import verdicts


class Report(typing.NamedTuple):
    """The load report of an endpoint; a service sends only some fields.

    ``arrived`` (calls), ``prefill_done`` (tokens) and ``decode_done`` (tokens)
    are counters that never decrease while the endpoint's ``boot`` stays the
    same.  ``prefill_us`` is the prefill time for one prompt token, ``gap_ms``
    the time between two tokens of a stream with up to ``slots`` streams.
    """

    kind: str
    running: int = 0
    fence: int = -1
    role: typing.Annotated[
        str, _schema.OneOf(("mixed", "prefill", "decode"))
    ] = "mixed"
    version: str = ""
    models: tuple[str, ...] = ()
    quiesced: bool = False
    changing: bool = False
    queued_tokens: int = 0
    prefill_done: int = 0
    decode_done: int = 0
    arrived: int = 0
    slots: int = 16
    prefill_us: float = 20.0
    gap_ms: float = 20.0
    cut: int = 0
    boot: str = ""


# The header in which an engine adds its report to an answer.
HEADER = "engine-load"


async def fetch(http, endpoint_id, address):
    """Request and return the endpoint's report.

    :raises EndpointFailed: there is no valid report; the verdict is
        ``NOT_RUN`` after an ``httpx.ConnectError``.
    """
    try:
        answer = await http.get(f"http://{address}/state")
        data = answer.json()
    except httpx.ConnectError as exc:
        raise errors.EndpointFailed(
            f"{endpoint_id}: cannot connect for its report",
            verdicts.Verdict.NOT_RUN,
        ) from exc
    except (httpx.HTTPError, ValueError) as exc:
        raise errors.EndpointFailed(
            f"{endpoint_id}: cannot read its report: {type(exc).__name__}"
        ) from exc
    try:
        return decode(data)
    except errors.BadRecord as exc:
        raise errors.EndpointFailed(
            f"{endpoint_id}: invalid report: {exc}"
        ) from exc


def decode(data):
    """Decode and check a report.

    :raises BadRecord: a field is missing or invalid; names the first.
    """
    report, mistakes = _schema.build(Report, data)
    if mistakes:
        raise errors.BadRecord(str(mistakes[0]))
    return report
