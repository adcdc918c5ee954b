"""Keeping a request that crashes endpoints from reaching ever more of them.

Such a request comes again, with the same path and body, at any gateway.  The
marks of :mod:`clementinewall.membership.crashes` travel with what gateways
tell one another.
"""

import hashlib

from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import crashes
from clementinewall.membership import members
from clementinewall import verdicts

_log = logs.PartLog("guard")

DIGEST_BYTES = 8
# 422 would tell the caller that its request is at fault, which a mark cannot
# prove: endpoints also go down for reasons of their own.
STATUS = 502


class CrashGuard:
    """The marks of requests under which endpoints went down."""

    def __init__(self, now):
        """Begin without marks."""
        self._table = crashes.CrashTable(now)

    def check(self, call):
        """Refuse a request that crashed two endpoints.

        :raises HarmfulRequest: it did.
        """
        if self._table.is_harmful(_digest(call)):
            error = errors.HarmfulRequest("this request crashed two endpoints")
            error.status = STATUS
            raise error

    def record_answer(self, call):
        """Note that a request was answered, so that it crashes nothing."""
        self._table.clear(_digest(call))

    def record_failure(self, call, state, failure, before_first):
        """Mark a request whose connection broke while it may have run."""
        if failure.answer is not None or not failure.broken:
            return
        if failure.verdict is not verdicts.Verdict.MAY_HAVE_RUN:
            return
        incarnation = f"{state.endpoint.id}/{state.endpoint.incarnation}"
        digest = _digest(call)
        if self._table.add(digest, incarnation, strong=before_first):
            _log.info(
                "endpoint broke off under a request",
                request=call.attempt,
                endpoint=state.endpoint.id,
                digest=digest,
            )

    def message(self):
        """Return the newest marks as plain data, for peers."""
        return [list(mark) for mark in self._table.message()]

    def merge(self, rows):
        """Take in the marks of a peer."""
        self._table.merge(members.Crash(*row) for row in rows)


def _digest(call):
    digest = hashlib.sha256(call.host.encode())
    digest.update(call.target)
    digest.update(b"\0")
    digest.update(call.body)
    return digest.hexdigest()[: 2 * DIGEST_BYTES]
