"""At which software version each stream began, known to any gateway.

A stream may go on only at the version that made its first event, and its
caller may take it up at any gateway.  The gateway that passes the first event
on tells a few owners (:mod:`clementinewall.policy.stream_owners`), before the
caller gets it and without waiting for them, and soon after it the platform's
store.  A gateway that doesn't know a stream asks its owners, then the store.
While a service has one version nothing is told; what began before a second
one came is told when it comes.
"""

import collections
import typing

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import peer_messages
from clementinewall.gateway import software_versions
from clementinewall import logs
from clementinewall import metrics
from clementinewall.policy import stream_owners

_log = logs.PartLog("origin")

# An origin is kept for the longest answer of its route, and at least so long.
MIN_LIFETIME_MS = 30_000
MAX_LIFETIME_MS = software_versions.MAX_RETENTION_MS
MAX_ORIGINS = 20_000
# The store has those of all gateways.
MAX_LOGGED_ORIGINS = 60_000
ROWS_PER_MESSAGE = 200
# Owners that don't answer are asked again after each of these times; after
# the last, the stream counts as unknown.
ASK_INTERVALS_MS = (50, 80, 120)
# While all know of one version only, so many answers of gateways that know all
# recent versions are enough.
SUFFICIENT_ANSWERS = 2
# A caller whose stream isn't known waits for the store so long, and so long
# for which versions it has now.
STORE_LIMIT_MS = 1_000
READ_LIMIT_MS = 400


class Origin(typing.NamedTuple):
    """The service and the software version that began a stream."""

    service: str
    version: str
    expires_at: clock.Millis


class _Query:
    """What the owners of a stream have answered so far."""

    def __init__(self, service, ips):
        self.service = service
        self.unanswered = set(ips)
        self.answers = 0
        self.versions = set()
        # The longest time for which one that answered knows the versions, and
        # how many know all that matter.
        self.known_ms = 0
        self.informed_answers = 0
        self.origin = None
        # Whether the store was asked later which versions there are.
        self.is_read = False
        # The gateway that knew the origin.
        self.known_by = None
        self.settled = anyio.Event()


class StreamOrigins:
    """The origins of the streams that this gateway began or owns."""

    def __init__(
        self,
        fleet_view,
        table,
        send,
        now,
        version_record,
        origin_log,
        read_endpoints,
    ):
        """Share origins with the gateways in ``table`` and the store.

        ``send(raw, ips)`` sends a datagram; ``now`` returns the time in ms.
        ``read_endpoints(limit_ms)`` reads the endpoints in the store anew and
        returns whether it could.
        """
        self._read_endpoints = read_endpoints
        self._version_record = version_record
        self._log = origin_log
        self._fleet_view = fleet_view
        self._table = table
        self._send = send
        self._now = now
        self._origin_by_attempt = collections.OrderedDict()
        # Read from the store, of any gateway.
        self._logged_by_attempt = collections.OrderedDict()
        self._untold_by_service = collections.defaultdict(dict)
        self._query_by_attempt = {}
        self._is_log_read = False

    def record(self, attempt, service, version, lifetime_ms):
        """Record at which version the stream of an attempt has an event.

        Told again when a stream is taken up, since its owners may have
        changed.
        """
        if len(attempt) > domain.MAX_TEXT:
            return
        lifetime_ms = min(MAX_LIFETIME_MS, max(MIN_LIFETIME_MS, lifetime_ms))
        origin = Origin(service, version, self._now() + lifetime_ms)
        self._put(attempt, origin)
        if self._fleet_view.versions.are_several(service):
            self._tell({attempt: origin})
        else:
            self._untold_by_service[service][attempt] = origin

    def record_end(self, attempt):
        """Record that the stream of an attempt has ended whole."""
        for untold in self._untold_by_service.values():
            untold.pop(attempt, None)
        self._log.discard(attempt)

    def sweep(self):
        """Drop what has expired; tell what must be known by now."""
        now = self._now()
        origins = self._origin_by_attempt
        for found in (origins, self._logged_by_attempt):
            while found and next(iter(found.values())).expires_at <= now:
                found.popitem(last=False)
        for service, untold in self._untold_by_service.items():
            if self._fleet_view.versions.are_several(service):
                self._tell(untold)
                untold.clear()
            for attempt in [a for a in untold if a not in origins]:
                del untold[attempt]

    def _put(self, attempt, origin):
        _put_last(self._origin_by_attempt, attempt, origin, MAX_ORIGINS)

    def _known(self, attempt):
        for found in (self._origin_by_attempt, self._logged_by_attempt):
            origin = found.get(attempt)
            if origin is not None and origin.expires_at > self._now():
                return origin
        return None

    def _tell(self, origin_by_attempt):
        """Tell owners and the store where some streams began."""
        now = self._now()
        for attempt, origin in origin_by_attempt.items():
            self._log.add(
                attempt,
                origin.service,
                origin.version,
                origin.expires_at - now,
            )
        ready = [peer.ip for peer in self._table.live() if peer.ready]
        rows_by_ip = collections.defaultdict(list)
        for attempt, origin in origin_by_attempt.items():
            row = [
                attempt,
                origin.service,
                origin.version,
                origin.expires_at - now,
            ]
            for ip in stream_owners.rank(attempt, ready, stream_owners.TOLD):
                rows_by_ip[ip].append(row)
        for ip, rows in rows_by_ip.items():
            for start in range(0, len(rows), ROWS_PER_MESSAGE):
                part = rows[start : start + ROWS_PER_MESSAGE]
                self._send_part("began", part, [ip])

    def _send_part(self, name, rows, ips, **more):
        part = {name: rows, **more}
        self._send(peer_messages.dump({"origins": part}), ips)

    async def find(self, attempt, service):
        """Return the :class:`Origin` of the stream that an attempt began.

        If nobody knows it and the service has had one version only, it is
        that one; else ``None``.  ``attempt`` is ``None`` if the caller didn't
        name it.
        """
        if attempt is not None and len(attempt) > domain.MAX_TEXT:
            attempt = None
        origin = None if attempt is None else self._known(attempt)
        how = "own" if attempt in self._origin_by_attempt else "store"
        query = _Query(service, ())
        if origin is None:
            query = await self._ask_all(attempt, service)
            origin, how = query.origin, "owner"
        if origin is None:
            await self._read_store(attempt, query)
            origin, how = attempt and self._known(attempt), "store"
        if origin is None:
            origin, how = self._only_version(query), "only version"
        metrics.count("streams_taken_up", known=how if origin else "no")
        _log.info(
            "stream is taken up" if origin else "origin of stream not known",
            resumes=attempt,
            service=origin.service if origin else service,
            version=origin.version if origin else None,
            known=how if origin else None,
            known_by=query.known_by,
            answers=query.answers,
            own_known_ms=self._fleet_view.versions.known_ms,
            peers_known_ms=query.known_ms,
        )
        return origin

    async def _ask_all(self, attempt, service):
        """Ask the owners of a stream, and the store which versions it has."""
        query = self._query(attempt, service)
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_versions, query)
            await self._ask(attempt, query)
            if query.origin is not None:
                group.cancel_scope.cancel()
        return query

    async def _read_versions(self, query):
        if await self._read_endpoints(READ_LIMIT_MS):
            query.is_read = True
            self._settle(query)

    async def _read_store(self, attempt, query):
        """Read what the store has of a stream and of earlier versions.

        A gateway that has seen one version only for long needs neither.
        """
        end = self._now() + STORE_LIMIT_MS
        if not self._is_informed(query):
            await self._version_record.wait_until_read(STORE_LIMIT_MS)
        versions = self._fleet_view.versions
        is_log_known = self._is_log_read or versions.is_observed_long
        if attempt is not None and (
            len(self._versions(query)) > 1 or not is_log_known
        ):
            if await self._log.read(end - self._now()):
                self._is_log_read = True

    def _is_informed(self, query):
        """Tell whether somebody knows all versions that may have begun it."""
        versions = self._fleet_view.versions
        known_ms = max(versions.known_ms, query.known_ms)
        return known_ms >= versions.retention_ms

    def _only_version(self, query):
        """Return the origin if only one version can have begun the stream.

        A gateway that has just started doesn't know what left before.  An
        engine may have joined since the store was read last, and have begun
        the stream through a gateway that isn't heard.
        """
        versions = self._versions(query)
        if len(versions) != 1 or not self._is_informed(query):
            return None
        if not query.is_read and not self._is_told_by_most(query):
            return None
        return Origin(query.service, *versions, self._now())

    def _is_told_by_most(self, query):
        """Tell whether owners among most of all gateways answered.

        Then those that can't be heard are too few to have served a version
        that nobody else knows, though the store can't be asked.
        """
        others = len(self._table.ips)
        if not others:
            # It may only not have read yet which others there are.
            return self._table.is_complete
        live = len(self._table.live())
        is_most = 2 * (live + 1) > others + 1
        return bool(is_most and query.answers and not query.unanswered)

    def _versions(self, query):
        recent = self._fleet_view.versions.recent(query.service)
        return query.versions | recent

    def _query(self, attempt, service):
        """Return the :class:`_Query` for a stream, one for all who ask."""
        if attempt is None:
            return _Query(service, ())
        query = self._query_by_attempt.get(attempt)
        if query is None:
            live = [peer.ip for peer in self._table.live()]
            ips = stream_owners.rank(attempt, live, stream_owners.ASKED)
            query = _Query(service, ips)
            self._query_by_attempt[attempt] = query
        return query

    async def _ask(self, attempt, query):
        """Ask the owners of a stream until they have told enough."""
        try:
            for interval_ms in ASK_INTERVALS_MS:
                if query.settled.is_set() or not query.unanswered:
                    break
                self._send_part(
                    "asked",
                    [[attempt, query.service]],
                    sorted(query.unanswered),
                )
                with anyio.move_on_after(clock.seconds(interval_ms)):
                    await query.settled.wait()
        finally:
            if self._query_by_attempt.get(attempt) is query:
                del self._query_by_attempt[attempt]

    def take(self, message, ip):
        """Take in what the gateway at ``ip`` tells, asks or answers.

        :raises AttributeError, KeyError, TypeError, ValueError: if malformed.
        """
        part = message.get("origins")
        if part is None:
            return
        for row in part.get("began", ()):
            self.add(*row)
        asked = part.get("asked", ())[:ROWS_PER_MESSAGE]
        if asked:
            rows = [self._answer(*row) for row in asked]
            known_ms = self._fleet_view.versions.known_ms
            self._send_part("known", rows, [ip], known_ms=known_ms)
        known_ms = int(part.get("known_ms", 0))
        for row in part.get("known", ()):
            self._take_answer(ip, known_ms, *row)

    def add(self, attempt, service, version, left_ms):
        """Add an origin that a peer knows."""
        name, origin = self._received(attempt, service, version, left_ms)
        self._put(name, origin)
        served = {origin.service: [origin.version]}
        self._fleet_view.versions.add_served(served)

    def add_logged(self, attempt, service, version, left_ms):
        """Add an origin that the store has, at the expense of no other."""
        name, origin = self._received(attempt, service, version, left_ms)
        logged = self._logged_by_attempt
        _put_last(logged, name, origin, MAX_LOGGED_ORIGINS)
        versions = self._fleet_view.versions
        if not versions.is_complete:
            versions.add_served({origin.service: [origin.version]})

    def _received(self, attempt, service, version, left_ms):
        left_ms = min(MAX_LIFETIME_MS, max(0, int(left_ms)))
        origin = Origin(str(service), str(version), self._now() + left_ms)
        return str(attempt)[: domain.MAX_TEXT], origin

    def _answer(self, attempt, service):
        """Return what is known of a stream, as plain data."""
        origin = self._known(str(attempt))
        recent = self._fleet_view.versions.recent(str(service))
        row = None
        if origin is not None:
            left_ms = origin.expires_at - self._now()
            row = [origin.service, origin.version, left_ms]
        return [attempt, row, sorted(recent)]

    def _take_answer(self, ip, known_ms, attempt, row, versions):
        query = self._query_by_attempt.get(attempt)
        if query is None or ip not in query.unanswered:
            return
        query.unanswered.discard(ip)
        query.answers += 1
        query.known_ms = max(query.known_ms, known_ms)
        if known_ms >= self._fleet_view.versions.retention_ms:
            query.informed_answers += 1
        query.versions.update(str(version) for version in versions)
        if row is not None:
            self.add(attempt, *row)
            query.origin = self._known(attempt)
            query.known_by = ip
        self._settle(query)

    def _settle(self, query):
        if self._is_settled(query):
            query.settled.set()

    def _is_settled(self, query):
        if query.origin is not None or not query.unanswered:
            return True
        is_sufficient = (
            query.is_read and query.informed_answers >= SUFFICIENT_ANSWERS
        )
        return is_sufficient and len(self._versions(query)) <= 1


def _put_last(origin_by_attempt, attempt, origin, max_origins):
    origin_by_attempt[attempt] = origin
    origin_by_attempt.move_to_end(attempt)
    while len(origin_by_attempt) > max_origins:
        origin_by_attempt.popitem(last=False)
