"""Keeping a request that crashes endpoints from crashing more of them.

Such a request is retried, with the same path and body, at any gateway.  The
crash records of :mod:`clementinewall.membership.crashes` are part of
the messages between gateways.
"""

from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import crashes
from clementinewall.membership import members
from clementinewall import metrics
from clementinewall import verdicts

_log = logs.PartLog("guard")

# 422 would blame the caller's request, which a crash record cannot prove:
# endpoints also fail for unrelated reasons.
STATUS = 502


class CrashGuard:
    """The crash records of requests during which endpoints failed."""

    def __init__(self, now):
        """Start without crash records."""
        self._table = crashes.CrashTable(now)
        self._unsent = []

    def check(self, exchange):
        """Refuse a request that crashed two endpoints.

        :raises HarmfulRequest: if it did.
        """
        if self._table.is_harmful(exchange.digest):
            error = errors.HarmfulRequest("this request crashed two endpoints")
            error.status = STATUS
            raise error

    def record_answer(self, exchange):
        """Clear the crash records of a request that was answered."""
        self._table.clear(exchange.digest)

    def record_failure(self, exchange, state, failure, strong):
        """Record a crash if the request may have run when it broke off.

        ``strong`` tells that it had just begun to run, or not yet.
        """
        if failure.answer is not None or not failure.broken:
            return
        if failure.verdict is not verdicts.Verdict.MAY_HAVE_RUN:
            return
        incarnation = f"{state.endpoint.id}/{state.endpoint.incarnation}"
        digest = exchange.digest
        if self._table.add(digest, incarnation, strong=strong):
            self._unsent.append((digest, incarnation, 0, strong))
            _log.info(
                "connection broke during a request; crash recorded",
                request=exchange.call.attempt,
                endpoint=state.endpoint.id,
                digest=digest,
            )
            self._note_new_record(digest, "own")

    def message(self):
        """Return crash records that peers may lack, as plain data."""
        return [list(mark) for mark in self._table.message()]

    @property
    def has_unsent_records(self):
        """Return whether records of this gateway wait for their first send."""
        return bool(self._unsent)

    def drain_records(self):
        """Return and clear the records not yet sent, as plain data."""
        records = self._unsent[: crashes.MAX_RECORDS_PER_MESSAGE]
        self._unsent = []
        return records

    def merge(self, rows):
        """Merge the crash records of a peer.

        :raises TypeError, ValueError, OverflowError: if malformed.
        """
        crashes_of_peer = [
            members.Crash(
                str(digest), str(endpoint), int(age_ms), bool(strong)
            )
            for digest, endpoint, age_ms, strong in rows
        ]
        for crash in self._table.merge(crashes_of_peer):
            self._note_new_record(crash.digest, "peer")

    def _note_new_record(self, digest, source):
        """Count a new record, and log if its request is refused from now on.

        ``source`` tells whether this gateway or a peer saw the crash.
        """
        metrics.count("crash_records", source=source)
        if self._table.is_harmful(digest):
            _log.warning(
                "request counts as harmful; it gets no further endpoint",
                digest=digest,
                crashed=sorted(self._table.endpoints(digest)),
                source=source,
            )
