"""The placement policies that the lab compares, and their overrides.

A policy is named on the command line as ``NAME`` or as
``NAME:module.CONSTANT=VALUE,...``, which overrides constants of modules of
:mod:`clementinewall.policy` for the run.
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
    """A parsed policy: ``overrides`` are (module, constant, value)."""

    text: str
    name: str
    overrides: tuple[tuple[str, str, float], ...]


def parse(text):
    """Return the :class:`Policy` that ``text`` names.

    :raises SettingsError: the policy or a constant does not exist, or a
        value is not a number.
    """
    name, _, rest = text.partition(":")
    if name not in PLACERS:
        known = ", ".join(sorted(PLACERS))
        raise errors.SettingsError(f"no policy {name!r}; known: {known}")
    overrides = tuple(_parse_override(row) for row in rest.split(",") if row)
    return Policy(text, name, overrides)


def _parse_override(row):
    where, _, number = row.partition("=")
    module, _, constant = where.partition(".")
    try:
        found = importlib.import_module(f"clementinewall.policy.{module}")
        default = getattr(found, constant)
    except (ImportError, AttributeError, ValueError) as exc:
        raise errors.SettingsError(f"no constant {where!r}: {exc}") from exc
    if isinstance(default, bool) or not isinstance(default, (int, float)):
        raise errors.SettingsError(f"{where} is no number")
    try:
        return module, constant, type(default)(number)
    except ValueError as exc:
        raise errors.SettingsError(f"{row!r}: {exc}") from exc


@contextlib.contextmanager
def overridden_constants(policy):
    """Set the constants that the policy overrides; restore them after."""
    previous = []
    try:
        for module, constant, value in policy.overrides:
            found = importlib.import_module(f"clementinewall.policy.{module}")
            previous.append((found, constant, getattr(found, constant)))
            setattr(found, constant, value)
        yield
    finally:
        for found, constant, value in reversed(previous):
            setattr(found, constant, value)


def _gateway_placer(gateway, _rng):
    return gateway.placer.place


def _one_scale_placer(gateway, _rng):
    """Place as the gateway does where no engine tells its pace."""
    gateway.reads_pace = False
    return gateway.placer.place


def _shortest_queue_placer(gateway, rng):
    """Use the engines with the shortest known queues; refuse nothing."""

    def place(exchange, _last):
        states = gateway.endpoints.of_service(exchange.service.name)
        prefill_engine = _shortest(
            _of_stage(states, domain.PREFILL), _prompts, gateway, rng
        )
        decode_engine = _shortest(
            _of_stage(states, domain.DECODE), _streams, gateway, rng
        )
        return _plan(prefill_engine, decode_engine)

    return place


def _shortest(states, length, gateway, rng):
    """Return the engine with the shortest queue, any one of equal ones.

    The queue is the own one and those that the peers announced.
    """
    length_by_id = {state.endpoint.id: length(state) for state in states}
    for peer in gateway.table.states():
        for id_, work in peer.work_by_endpoint_id.items():
            if id_ in length_by_id:
                length_by_id[id_] += length(work)
    return min(
        states, key=lambda s: (length_by_id[s.endpoint.id], rng.random())
    )


def _prompts(work):
    return len(work.jobs)


def _streams(work):
    return work.streams


def _random_placer(gateway, rng):
    """Prefill and decode on one random decode engine; refuse nothing."""

    def place(exchange, _last):
        states = gateway.endpoints.of_service(exchange.service.name)
        return _plan(None, rng.choice(_of_stage(states, domain.DECODE)))

    return place


def _random_split_placer(gateway, rng):
    """Use a random engine of each stage; refuse nothing."""

    def place(exchange, _last):
        states = gateway.endpoints.of_service(exchange.service.name)
        prefill_engine = rng.choice(_of_stage(states, domain.PREFILL))
        return _plan(
            prefill_engine, rng.choice(_of_stage(states, domain.DECODE))
        )

    return place


def _of_stage(states, stage):
    return [state for state in states if state.endpoint.stage == stage]


def _plan(prefill_engine, decode_engine):
    option = placement.Option(
        prefill_engine and prefill_engine.endpoint.id,
        decode_engine.endpoint.id,
        0.0,
        0.0,
        0.0,
        0,
    )
    return placing.Plan(
        prefill_engine, decode_engine, option, placement.URGENCY_NORMAL
    )


PLACERS = {
    "gateway": _gateway_placer,
    "one-scale": _one_scale_placer,
    "random": _random_placer,
    "random-split": _random_split_placer,
    "shortest-queue": _shortest_queue_placer,
}


def placer(policy, gateway, seed):
    """Return the function by which ``gateway`` places requests."""
    return PLACERS[policy.name](gateway, random.Random(f"{seed}{gateway.ip}"))
