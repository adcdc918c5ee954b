"""The load report that an endpoint gives at ``GET /state``."""

import typing

import httpx

from clementinewall import _schema
from clementinewall import errors
from clementinewall import verdicts


class Report(typing.NamedTuple):
    """The load report of an endpoint; a service sends the short form.

    ``arrived``, ``prefill_done`` (tokens) and ``decode_done`` (tokens) only
    ever grow while the endpoint's ``boot`` stays the same.  ``prefill_us``
    is the time for a prompt token, ``gap_ms`` the time between tokens up to
    ``slots`` streams.
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


# The header by which an engine sends its report along with an answer.
HEADER = "engine-load"


async def fetch(http, endpoint_id, address):
    """Return the endpoint's report.

    :raises EndpointFailed: ``NOT_RUN`` if nobody listens at the address.
    """
    try:
        answer = await http.get(f"http://{address}/state")
        data = answer.json()
    except httpx.ConnectError as exc:
        raise errors.EndpointFailed(
            f"{endpoint_id} is out of reach", verdicts.Verdict.NOT_RUN
        ) from exc
    except (httpx.HTTPError, ValueError) as exc:
        raise errors.EndpointFailed(
            f"{endpoint_id}: {type(exc).__name__}"
        ) from exc
    try:
        return decode(data)
    except errors.BadRecord as exc:
        raise errors.EndpointFailed(f"{endpoint_id}: {exc}") from exc


def decode(data):
    """Check a report.

    :raises BadRecord: it does not have the shape of one.
    """
    report, mistakes = _schema.build(Report, data)
    if mistakes:
        raise errors.BadRecord(str(mistakes[0]))
    return report
