"""The registration of this gateway's address in the store."""

import typing

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall.platform import records
from clementinewall.platform import store
from clementinewall.policy import store_polling

_log = logs.PartLog("peers")


class Registration(typing.NamedTuple):
    """The newest records from before, to be followed by those after them.

    ``is_first_process`` tells that they name no earlier process of this
    instance.
    """

    known: store.Batch
    is_first_process: bool


class Registrar:
    """Puts this gateway's address into the store, unless it is there."""

    def __init__(self, settings, now):
        """Use the store of the settings; ``now`` returns ms."""
        self._ip = settings.ip
        self._now = now
        self._begun_at = now()
        self._store = store.Store(settings.store, now)

    async def read(self):
        """Return what was registered before this process."""
        known = await self._retry(
            lambda: self._store.newest(records.GATEWAYS_TOPIC)
        )
        names = {record.key for record in known.records}
        found = Registration(known, self._ip not in names)
        _log.info(
            "registered gateways read",
            gateways=len(names),
            is_first_process=found.is_first_process,
            after_ms=self._now() - self._begun_at,
        )
        return found

    async def register(self, found):
        """Write the address, unless ``found`` has it already."""
        if found.is_first_process:
            await self._retry(
                lambda: self._store.append(
                    records.GATEWAYS_TOPIC, self._ip, b"1"
                )
            )
        self._store.close()
        _log.info(
            "registered",
            ip=self._ip,
            after_ms=self._now() - self._begun_at,
        )

    async def _retry(self, call):
        while True:
            try:
                return await call()
            except errors.LogUnavailable as exc:
                _log.warning("registration failed; retrying", why=exc.message)
                delay_ms = store_polling.first_read_retry_ms()
                await anyio.sleep(clock.seconds(delay_ms))
