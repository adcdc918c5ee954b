"""The ways of placing that the lab compares, and changed thresholds.

A policy is named on the command line as ``NAME`` or as
``NAME:module.CONSTANT=VALUE,...``, which runs it with other values of named
constants of :mod:`clementinewall.policy`.
"""

import contextlib
import importlib
import random
import typing

from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import placing
from clementinewall.policy import placement


class Policy(typing.NamedTuple):
    """A policy as it was named."""

    text: str
    name: str
    values: tuple[tuple[str, str, float], ...]


def parse(text):
    """Return the :class:`Policy` that ``text`` names.

    :raises SettingsError: there is no such policy or constant.
    """
    name, _, rest = text.partition(":")
    if name not in PLACERS:
        known = ", ".join(sorted(PLACERS))
        raise errors.SettingsError(f"no policy {name!r}; known: {known}")
    values = tuple(_value(row) for row in rest.split(",") if row)
    return Policy(text, name, values)


def _value(row):
    where, _, number = row.partition("=")
    module, _, constant = where.partition(".")
    try:
        found = importlib.import_module(f"clementinewall.policy.{module}")
        present = getattr(found, constant)
    except (ImportError, AttributeError, ValueError) as exc:
        raise errors.SettingsError(f"no constant {where!r}: {exc}") from exc
    if isinstance(present, bool) or not isinstance(present, (int, float)):
        raise errors.SettingsError(f"{where} is no number")
    try:
        return module, constant, type(present)(number)
    except ValueError as exc:
        raise errors.SettingsError(f"{row!r}: {exc}") from exc


@contextlib.contextmanager
def in_force(policy):
    """Run with the constants that the policy names."""
    before = []
    try:
        for module, constant, value in policy.values:
            found = importlib.import_module(f"clementinewall.policy.{module}")
            before.append((found, constant, getattr(found, constant)))
            setattr(found, constant, value)
        yield
    finally:
        for found, constant, value in reversed(before):
            setattr(found, constant, value)


def _as_gateways(gateway, _rng):
    return gateway.placer.place


def _random(gateway, rng):
    """Place on a random decoding engine; refuse nothing."""

    def place(exchange, _last):
        states = gateway.endpoints.of_service(exchange.service.name)
        return _plan(None, rng.choice(_with(states, domain.DECODE)))

    return place


def _random_split(gateway, rng):
    """Read and decode on random engines of each stage; refuse nothing."""

    def place(exchange, _last):
        states = gateway.endpoints.of_service(exchange.service.name)
        reader = rng.choice(_with(states, domain.PREFILL))
        return _plan(reader, rng.choice(_with(states, domain.DECODE)))

    return place


def _with(states, stage):
    return [state for state in states if state.endpoint.stage == stage]


def _plan(reader, decoder):
    way = placement.Option(
        reader and reader.endpoint.id, decoder.endpoint.id, 0.0, 0.0, 0.0, 0
    )
    return placing.Plan(reader, decoder, way, placement.URGENCY_NORMAL)


PLACERS = {
    "gateway": _as_gateways,
    "random": _random,
    "random-split": _random_split,
}


def placer(policy, gateway, seed):
    """Return the function by which ``gateway`` places requests."""
    return PLACERS[policy.name](gateway, random.Random(f"{seed}{gateway.ip}"))
