"""Client of the platform's log service, and of peers that relay it.

The service speaks HTTP with JSON: ``POST /streams/S/records`` appends one
record and returns its offset; ``GET /streams/S/records?from=N`` reads records
from an offset on and may wait for the next one.  A relay answers the same
read, with a ``snapshot`` of its state if it no longer holds offset ``N``.
"""

import math
import typing

import httpx

from clementinewall import _http
from clementinewall import _schema
from clementinewall import clock
from clementinewall import errors
from clementinewall import metrics

MAX_READ_RECORDS = 1_000


class Entry(typing.NamedTuple):
    """One record of a stream with its offset."""

    offset: int
    record: typing.Any


class RelayedState(typing.NamedTuple):
    """A relay's state in place of the records up to ``as_of``."""

    as_of: int
    state: dict[str, typing.Any]


class Batch(typing.NamedTuple):
    """An answer to a read; ``first`` is the oldest offset still kept."""

    first: int
    next: int
    records: tuple[Entry, ...]
    snapshot: RelayedState | None = None


class LogClient:
    """Reads and appends; owns its HTTP connections."""

    def __init__(self, settings):
        """Use the settings; connections are opened on first use."""
        self._platform = settings.platform
        self._token = settings.security.control_token
        timeout = clock.seconds(self._platform.request_timeout_ms)
        self._timeout = timeout
        # The platform's own answers have no bound of ours.
        self._http = _http.client(
            self._platform.request_timeout_ms, max_answer_bytes=math.inf
        )
        self._failovers = 0

    async def aclose(self):
        """Close the connections."""
        await self._http.aclose()

    def service(self):
        """Return the address of the log service to use next."""
        addresses = self._platform.log
        return addresses[self._failovers % len(addresses)]

    async def append(self, stream, record):
        """Append ``record`` and return its offset.

        :raises LogUnavailable: nothing was appended.
        :raises AppendUnknown: the record may or may not be in the log.
        """
        url = f"http://{self.service()}/streams/{stream}/records"
        try:
            answer = await self._http.post(url, json=_schema.plain(record))
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            self._failovers += 1
            raise errors.LogUnavailable(
                "the log service is unreachable; record not appended",
                retry_after_ms=1_000,
            ) from exc
        except httpx.HTTPError as exc:
            self._failovers += 1
            raise errors.AppendUnknown(
                "the log service did not answer the append: "
                f"{type(exc).__name__}",
                retry_after_ms=1_000,
            ) from exc
        if answer.status_code != 200:
            return self._raise_refused(answer)
        return _offset_of(answer)

    def _raise_refused(self, answer):
        if answer.status_code in (429, 503):
            raise errors.LogUnavailable(
                f"the log service refused the append: {answer.status_code}",
                retry_after_ms=1_000,
            )
        raise errors.AppendUnknown(
            f"the log service answered the append with {answer.status_code}"
        )

    async def read(self, stream, start, wait_ms=0, source=None):
        """Read a batch from offset ``start`` on, from a peer if given.

        :raises LogUnavailable: the source gave no valid answer.
        :raises BadRecord: the answer does not have the shape of a batch.
        """
        address = source or self.service()
        path = f"http://{address}/streams/{stream}/records"
        headers = {}
        if source is not None:
            headers["Authorization"] = f"Bearer {self._token}"
        query = {"from": start, "limit": MAX_READ_RECORDS, "wait_ms": wait_ms}
        try:
            answer = await self._http.get(
                path,
                params=query,
                headers=headers,
                timeout=self._timeout + clock.seconds(wait_ms),
            )
            if answer.status_code != 200:
                raise errors.LogUnavailable(
                    f"{address} answered the read with {answer.status_code}"
                )
            metrics.count(
                "control_bytes", len(answer.content), part="log", way="in"
            )
            return decode_batch(answer.json())
        except (httpx.HTTPError, ValueError) as exc:
            if source is None:
                self._failovers += 1
            raise errors.LogUnavailable(
                f"reading from {address} failed: {type(exc).__name__}"
            ) from exc


def decode_batch(data):
    """Check the answer to a read.

    :raises BadRecord: it does not have the shape of a batch.
    """
    batch, mistakes = _schema.build(Batch, data)
    if mistakes:
        raise errors.BadRecord(str(mistakes[0]))
    return batch


def _offset_of(answer):
    try:
        offset = answer.json()["offset"]
    except (ValueError, KeyError, TypeError) as exc:
        raise errors.AppendUnknown(
            "the log service gave no valid offset"
        ) from exc
    if not isinstance(offset, int):
        raise errors.AppendUnknown("the log service gave no valid offset")
    return offset
