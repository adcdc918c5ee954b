"""The deployment and the load that a lab run simulates, from TOML."""

import pathlib
import tomllib
import typing

from clementinewall import _schema
from clementinewall import errors

_Fraction = typing.Annotated[float, _schema.Range(0.0, 1.0)]
_Positive = typing.Annotated[float, _schema.Range(1e-9, 1e9)]
_Count = typing.Annotated[int, _schema.Range(1, 10**9)]


class SharedPart(typing.NamedTuple):
    """A prompt prefix that several requests share.

    There are ``things`` different prefixes; number *n* is requested in
    proportion to ``n ** -skew``.  ``tokens`` is their mean size and ``most``
    their largest.  ``spread`` is the standard deviation of the logarithm of
    the size, as for all sizes in this file.
    """

    tokens: _Positive
    things: _Count = 1
    skew: float = 0.0
    spread: float = 0.0
    most: _Positive = 1e9


class RequestClass(typing.NamedTuple):
    """A class of requests.

    A request earns ``worth`` if its first event arrives within ``goal_ms``,
    and ``late_worth`` if it arrives later but within ``deadline_ms``.
    """

    per_s: _Positive
    goal_ms: _Positive
    deadline_ms: _Positive
    tokens_in: _Positive
    tokens_out: _Positive
    worth: _Positive = 1.0
    late_worth: float = 0.0
    spread_in: float = 0.0
    spread_out: float = 0.0
    most_in: _Positive = 1e9
    most_out: _Positive = 1e9
    retries: typing.Annotated[int, _schema.Range(0, 10)] = 1
    shared: tuple[SharedPart, ...] = ()


class Burst(typing.NamedTuple):
    """A period in which a class has ``factor`` times its request rate."""

    work_class: str
    at_s: typing.Annotated[float, _schema.Range(0.0, 1e6)]
    for_s: _Positive
    factor: typing.Annotated[float, _schema.Range(0.0, 100.0)]


class Pace(typing.NamedTuple):
    """How the pace of each engine changes, every ``every_ms``.

    ``spread`` is the standard deviation of the logarithm of the pace.  For
    ``slow_part`` of the time, in spells of ``slow_ms``, an engine also takes
    ``slow_factor`` times as long.  Where ``is_reported``, its answers tell the
    pace, with ``has_relative_time`` times its relative time.
    """

    is_reported: bool = False
    has_relative_time: bool = False
    every_ms: _Positive = 100.0
    spread: float = 0.0
    slow_part: _Fraction = 0.0
    slow_ms: _Positive = 600.0
    slow_factor: _Positive = 2.5


class Engines(typing.NamedTuple):
    """The engines, with the speeds that their operators publish.

    Prefill of a prompt takes ``prompt_base_ms``, plus 1 ms per
    ``tokens_a_ms`` new tokens, ``pairs_ms_a_million`` per million pairs of a
    new token and a token before it, and one step per chunk of
    ``piece_tokens``.  A decode engine prefills in chunks of
    ``decode_piece_tokens`` and ``decode_slowdown`` times as slowly.
    ``reading_part`` is the fraction of the engines that prefill.
    ``relative_times`` are dealt in turn: all work of an engine takes so many
    times as long.
    """

    count: _Count
    slots: _Count
    kv_tokens: _Count
    kv_token_bytes: _Count = 18_432
    link_mbps: _Positive = 370_000.0
    reading_part: _Fraction = 0.5
    tokens_a_ms: _Positive = 157.0
    pairs_ms_a_million: _Positive = 0.109
    piece_tokens: _Count = 2_048
    decode_piece_tokens: _Count = 512
    decode_slowdown: _Positive = 2.0
    prompt_base_ms: _Positive = 1.5
    first_event_ms: _Positive = 26.0
    step_ms: _Positive = 3.55
    step_ms_a_stream: _Positive = 0.0462
    relative_times: tuple[_Positive, ...] = (1.0,)
    pace: Pace = Pace()


class Gateways(typing.NamedTuple):
    """The gateways and the network between them.

    ``lost_part`` is the fraction of the messages between gateways that are
    lost.
    """

    count: _Count
    one_way_ms: _Positive = 1.4
    lost_part: _Fraction = 0.001


class Deployment(typing.NamedTuple):
    """A deployment with its load.

    Requests arrive in batches; ``clump`` is the mean size of a batch.
    """

    name: str
    gateways: Gateways
    engines: Engines
    classes: dict[str, RequestClass]
    bursts: tuple[Burst, ...] = ()
    clump: typing.Annotated[float, _schema.Range(1.0, 100.0)] = 1.0


def load(path):
    """Read a deployment file.

    :raises SettingsError: the file cannot be read or is invalid; the
        message names every mistake.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text())
    except OSError as exc:
        raise errors.SettingsError(f"{path}: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    deployment, mistakes = _schema.build(Deployment, data)
    mistakes = [str(mistake) for mistake in mistakes]
    if deployment is not None:
        mistakes = [
            f"bursts: {burst.work_class!r} is not one of the classes"
            for burst in deployment.bursts
            if burst.work_class not in deployment.classes
        ]
    if mistakes:
        raise errors.SettingsError(f"{path}: " + "; ".join(mistakes))
    return deployment
