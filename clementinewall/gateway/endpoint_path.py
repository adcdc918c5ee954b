"""How this gateway reaches one endpoint: directly or through another gateway.

A gateway may be cut off from endpoints that are well.  Whether that is so, or
the endpoint is down, only the view of another gateway tells.
"""

import enum

import anyio

from clementinewall.gateway import relays as relays_module
from clementinewall.http1 import stream as streams
from clementinewall.policy import silence

# A connection that is reset within this time was not accepted.
ACCEPTED_AFTER_MS = 30
# A silent endpoint that was reached is not checked again for this time.
CHECK_INTERVAL_MS = 1_000


class Reach(enum.Enum):
    """How an endpoint is reached."""

    DIRECT = "direct"
    RELAYED = "relayed"
    NONE = "none"


class Condition(enum.Enum):
    """What new connections to an endpoint show."""

    ACCEPTING = "accepting"
    # It can be told that nothing listens there.
    REFUSING = "refusing"
    UNKNOWN = "unknown"


class EndpointPath:
    """Connects to one incarnation of an endpoint."""

    def __init__(self, address, connect_ms, relays, on_change, now):
        """Start as reached directly.

        ``relays`` is ``None`` if there are no other gateways to ask;
        ``on_change(before, after, after_ms)`` is called when the reach
        changes, ``after_ms`` after the last time.
        """
        self._address = address
        self._connect_ms = connect_ms
        self._relays = relays
        self._on_change = on_change
        self._now = now
        self._reach = Reach.DIRECT
        self._changed_at = now()
        self._checked_at = None
        self._check_end = None
        self._condition = Condition.UNKNOWN

    @property
    def reach(self):
        """Return how the endpoint is reached now."""
        return self._reach

    @property
    def is_direct(self):
        """Tell whether no other gateway is needed."""
        return self._reach is Reach.DIRECT

    @property
    def needs_search(self):
        """Tell whether no gateway is known that reaches it."""
        return self._reach is Reach.NONE

    @property
    def changed_ms(self):
        """Return for how many ms it has been reached in this way."""
        return self._now() - self._changed_at

    @property
    def is_unreached(self):
        """Tell whether no gateway has reached it for longer than a pause."""
        return (
            self._reach is Reach.NONE
            and self.changed_ms >= silence.SOUND_SILENCE_MS
        )

    @property
    def is_check_due(self):
        """Tell whether a check may tell something new."""
        if self._relays is None or self._reach is Reach.NONE:
            return False
        return (
            self._checked_at is None
            or self._now() - self._checked_at >= CHECK_INTERVAL_MS
        )

    def is_current(self, stream):
        """Tell whether new requests may use this open connection."""
        if stream.relay_ip is None:
            return self._reach is not Reach.RELAYED
        return self._reach is Reach.RELAYED and self._relays.is_available(
            stream.relay_ip, self._address
        )

    def forget(self):
        """Start anew: the record of the endpoint is gone."""
        self._reach = Reach.DIRECT

    async def connect(self):
        """Return a stream to the endpoint.

        :raises ConnectionRefusedError: nothing listens at its address.
        :raises OSError, TimeoutError: it was not reached.
        """
        if self._reach is Reach.RELAYED:
            try:
                return await self._connect_relayed()
            except relays_module.Unreached:
                self._set(Reach.NONE)
                raise
        try:
            return await self.connect_directly()
        except (OSError, TimeoutError) as exc:
            if self._relays is None or self._reach is Reach.NONE:
                raise
            return await self._connect_instead(exc)

    async def connect_directly(self):
        """Return a stream that passes no other gateway; as :meth:`connect`."""
        return await streams.connect(self._address, self._connect_ms)

    async def _connect_instead(self, failure):
        """Return a stream through a relay after ``failure`` to connect."""
        try:
            stream = await self._relays.connect(self._address)
        except relays_module.Unreached as exc:
            is_refused = isinstance(failure, ConnectionRefusedError)
            if exc.is_refused or (is_refused and not exc.is_answered):
                # It is down, which its record will show.
                raise ConnectionRefusedError(str(failure)) from exc
            self._set(Reach.NONE)
            raise failure from exc
        self._set(Reach.RELAYED)
        return stream

    async def check(self):
        """Find out how the endpoint is reached; return its condition.

        Only one check runs at a time, and it outlives those who wait for it.
        """
        if self._check_end is None:
            self._check_end = anyio.Event()
            if self._relays is None:
                await self._run_check()
                return self._condition
            self._relays.start(self._run_check)
        await self._check_end.wait()
        return self._condition

    async def _run_check(self):
        try:
            self._condition = await self._find_condition()
        finally:
            self._checked_at = self._now()
            self._check_end.set()
            self._check_end = None

    async def _find_condition(self):
        direct = Condition.UNKNOWN
        if self._reach is not Reach.RELAYED:
            direct = await _condition_by(self.connect_directly)
            if direct is Condition.ACCEPTING:
                self._set(Reach.DIRECT)
                return direct
        if self._relays is None:
            return direct
        try:
            relayed = await _condition_by(self._connect_relayed)
        except relays_module.Unreached as exc:
            return Condition.UNKNOWN if exc.is_answered else direct
        if relayed is Condition.ACCEPTING:
            self._set(Reach.RELAYED)
        return relayed

    async def _connect_relayed(self):
        try:
            return await self._relays.connect(self._address)
        except relays_module.Unreached as exc:
            if exc.is_refused:
                raise ConnectionRefusedError(str(exc)) from exc
            raise

    def _set(self, reach):
        before = self._reach
        if reach is before:
            return
        self._reach = reach
        self._changed_at, changed_ms = self._now(), self.changed_ms
        self._on_change(before, reach, changed_ms)
        if reach is not Reach.DIRECT:
            self._relays.probes.add(self)

    async def probe(self, may_search):
        """Try to reach the endpoint in a better way; tell whether it is.

        Other gateways are asked only if none is known that reaches it, and
        with ``may_search``.
        """
        before = self._reach
        if before is Reach.NONE and may_search:
            await self.check()
        elif before is not Reach.DIRECT:
            direct = await _condition_by(self.connect_directly)
            if direct is Condition.ACCEPTING:
                self._set(Reach.DIRECT)
        if self._reach is Reach.DIRECT:
            return before is not Reach.DIRECT
        return before is Reach.NONE and self._reach is Reach.RELAYED


async def _condition_by(connect):
    """Return the condition that a new connection shows.

    :raises relays_module.Unreached: no other gateway reaches the endpoint.
    """
    try:
        stream = await connect()
    except relays_module.Unreached:
        raise
    except (ConnectionRefusedError, ConnectionResetError):
        return Condition.REFUSING
    except (OSError, TimeoutError):
        return Condition.UNKNOWN
    try:
        await stream.receive(ACCEPTED_AFTER_MS)
    except TimeoutError:
        return Condition.ACCEPTING
    except anyio.BrokenResourceError:
        return Condition.REFUSING
    finally:
        stream.abort()
    return Condition.REFUSING
