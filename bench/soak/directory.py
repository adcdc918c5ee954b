"""Where callers connect: to a gateway by name, or as the gateways say."""

import time
import typing

import httpx

from tests.integration import gateway_base

ASK_TIMEOUT_SECONDS = 1.0
ASKS = 3
# Some callers keep an answer for longer than they were told.
KEEP_FACTORS = (1, 3)


class Place(typing.NamedTuple):
    """A gateway and the address at which it is reached."""

    gateway: str
    address: str


class NamedGateways:
    """Draws from all gateways, each behind its proxy."""

    def __init__(self, draw, front_by_gateway):
        """Draw with ``draw``; the addresses may change meanwhile."""
        self._draw = draw
        self._front_by_gateway = front_by_gateway

    def pick(self, _kept):
        """Return the place of the next request."""
        gateway = self._draw.choice(sorted(self._front_by_gateway))
        return Place(gateway, self._front_by_gateway[gateway])

    def note_failure(self, place):
        """Do nothing: a named gateway is tried again."""


class Directory:
    """Follows the addresses that the gateways give out."""

    def __init__(self, draw, listen_by_gateway, now=time.monotonic):
        """Ask at the ``directory`` address of any gateway.

        ``now`` returns seconds.
        """
        self._draw = draw
        self._now = now
        self._listen_by_gateway = listen_by_gateway
        self._factor = draw.choice(KEEP_FACTORS)
        self._addresses = ()
        self._failed = set()
        self._valid_until = 0.0

    def pick(self, kept):
        """Return the place of the next request, ``None`` if none is known.

        ``kept`` holds the places with an open connection, which are used as
        often as new ones.
        """
        if self._now() >= self._valid_until:
            self._ask()
        known = [a for a in self._addresses if a not in self._failed]
        usable = sorted(p for p in kept if p.address in self._addresses)
        if usable and self._draw.random() < 0.5:
            return self._draw.choice(usable)
        if not known:
            return None
        address = self._draw.choice(sorted(known))
        return Place(self._name_of(address), address)

    def note_failure(self, place):
        """Avoid an address until the next answer."""
        self._failed.add(place.address)

    def _name_of(self, address):
        for name, listen in self._listen_by_gateway.items():
            if listen["front"] == address:
                return name
        raise LookupError(f"no gateway listens at {address}")

    def _ask(self):
        names = sorted(self._listen_by_gateway)
        for name in self._draw.sample(names, min(ASKS, len(names))):
            where = self._listen_by_gateway[name]["directory"]
            try:
                answer = httpx.get(
                    f"http://{where}/resolve",
                    params={
                        "name": gateway_base.HOST,
                        "region": "r",
                        "zone": "a",
                    },
                    timeout=ASK_TIMEOUT_SECONDS,
                    trust_env=False,
                )
            except httpx.HTTPError:
                continue
            if answer.status_code == 200 and answer.json().get("addresses"):
                told = answer.json()
                keep = told["ttl_s"] * self._factor
                self._addresses = tuple(told["addresses"])
                self._failed.clear()
                self._valid_until = self._now() + keep
                return
        # The old answer stays in use; every address may be tried again.
        self._failed.clear()
