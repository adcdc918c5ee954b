"""The published configuration: classes of work, endpoints and policy.

A configuration is a map from key to value.  Keys have a fixed first part
that determines the type of the value: ``class/NAME``, ``endpoint/ID``,
``customer/NAME``, ``policy`` and, written by the planner,
``assignment/ID``.  Changes set single keys, so that changes by operators to
different endpoints do not conflict, and a change of one endpoint out of 2,100
is a record of a few hundred bytes.
"""

import typing

from clementinewall import _schema
from clementinewall import errors
from clementinewall import settings

NonNegative = typing.Annotated[float, _schema.Range(0.0, 1_000_000.0)]


class WorkClass(typing.NamedTuple):
    """A class of work and its targets, all in milliseconds.

    ``first_ms`` and ``gap_ms`` are the targets of model work for the first
    token and between tokens; a service call must be answered completely within
    ``first_ms``.  After ``deadline_ms`` a request is given up.  Under
    overload, a higher ``priority`` is served first.
    """

    kind: typing.Annotated[str, _schema.OneOf(("model", "service"))]
    first_ms: settings.Millis
    deadline_ms: settings.Millis
    gap_ms: settings.Millis = 100
    priority: typing.Annotated[int, _schema.Range(0, 9)] = 5
    idempotent: bool = True
    default: bool = False


class Endpoint(typing.NamedTuple):
    """An engine or a service, with its desired state."""

    address: str
    data_centre: str
    kind: typing.Annotated[str, _schema.OneOf(("engine", "service"))]
    serves: tuple[str, ...]
    fencing: typing.Annotated[str, _schema.OneOf(("checked", "ignored"))] = (
        "checked"
    )
    state: typing.Annotated[
        str, _schema.OneOf(("serving", "draining", "withdrawn"))
    ] = "serving"
    role: typing.Annotated[
        str, _schema.OneOf(("auto", "mixed", "prefill", "decode"))
    ] = "mixed"
    version: str = ""


class Customer(typing.NamedTuple):
    """A customer with the keys of its requests.

    ``priority`` replaces that of a class of work, 0 first.
    """

    keys: tuple[str, ...]
    priority: typing.Annotated[int, _schema.Range(0, 9)] | None = None


class Policy(typing.NamedTuple):
    """How the deployment weighs goodput against role changes.

    ``change_price`` is the number of answers within target that a role
    change must gain for each second that it takes an engine out of service.
    """

    change_price: NonNegative = 1.0
    change_ms: settings.Millis = 8_000
    horizon_ms: settings.Millis = 120_000
    min_prefill: typing.Annotated[int, _schema.Range(0, 1_000)] = 1
    min_decode: typing.Annotated[int, _schema.Range(0, 1_000)] = 1
    # Number of scopes for the endpoints of a data centre.  A new value moves
    # endpoints between lease holders, so set it while no change is running.
    shards: typing.Annotated[int, _schema.Range(1, 256)] = 1


class Assignment(typing.NamedTuple):
    """The role that the planner assigned to an ``auto`` endpoint."""

    role: typing.Annotated[str, _schema.OneOf(("mixed", "prefill", "decode"))]
    why: str = ""


_TYPE_BY_PREFIX = {
    "class": WorkClass,
    "endpoint": Endpoint,
    "customer": Customer,
    "policy": Policy,
    "assignment": Assignment,
}
# Prefixes of keys that operators publish; the planner writes the others.
PUBLISHED_PREFIXES = ("class", "endpoint", "customer", "policy")


def read_value(key, data):
    """Return the typed value of ``key``, or the mistakes in ``data``."""
    prefix, _, name = key.partition("/")
    value_type = _TYPE_BY_PREFIX.get(prefix)
    if value_type is None or bool(name) == (prefix == "policy"):
        allowed = "class/NAME, endpoint/ID, customer/NAME or policy"
        return None, (_schema.Mistake(key, repr(key), allowed),)
    value, mistakes = _schema.build(value_type, data, key)
    if not mistakes and value_type is Endpoint:
        if not settings.is_address(value.address):
            mistake = _schema.Mistake(
                f"{key}.address", repr(value.address), "IP:port by number"
            )
            return None, (mistake,)
    if not mistakes and value_type is Customer:
        mistakes = _check_customer(key, name, value)
        value = None if mistakes else value
    return value, mistakes


def _check_customer(key, name, customer):
    """Return the mistakes in a customer; none of them shows a key."""
    mistakes = []
    if not name.isprintable():
        mistakes.append(
            _schema.Mistake(key, repr(name), "a name of printable characters")
        )
    if not customer.keys:
        mistakes.append(
            _schema.Mistake(f"{key}.keys", "no key", "at least one key")
        )
    for index, text in enumerate(customer.keys):
        if not text.strip() or text != text.strip():
            mistakes.append(
                _schema.Mistake(
                    f"{key}.keys[{index}]",
                    "an empty key or blanks around it",
                    "a non-empty string without them",
                )
            )
    return tuple(mistakes)


def shared_keys(customer_by_key):
    """Return a mistake for each key that two customers have.

    ``customer_by_key`` has customers by their ``customer/NAME``.  A mistake
    names a key by its place, since messages end up in logs.
    """
    owner_by_text = {}
    mistakes = []
    for key, customer in sorted(customer_by_key.items()):
        for index, text in enumerate(customer.keys):
            owner = owner_by_text.setdefault(text, key)
            if owner != key:
                mistakes.append(
                    _schema.Mistake(
                        f"{key}.keys[{index}]",
                        f"a key of {owner}",
                        "a key of one customer only",
                    )
                )
    return tuple(mistakes)


def flatten(document):
    """Turn an operator's TOML document into a map from key to data.

    :raises SettingsError: listing every mistake in the document.
    """
    by_key = {}
    mistakes = []
    for prefix, data in document.items():
        if prefix == "policy":
            by_key["policy"] = data
        elif prefix in PUBLISHED_PREFIXES and isinstance(data, dict):
            for name, value in data.items():
                by_key[f"{prefix}/{name}"] = value
        else:
            mistakes.append(
                _schema.Mistake(
                    prefix, repr(prefix), ", ".join(PUBLISHED_PREFIXES)
                )
            )
    customer_by_key = {}
    for key, data in by_key.items():
        value, found = read_value(key, data)
        mistakes.extend(found)
        if isinstance(value, Customer):
            customer_by_key[key] = value
    mistakes.extend(shared_keys(customer_by_key))
    if mistakes:
        raise errors.SettingsError("\n".join(map(str, mistakes)))
    return by_key


class View(typing.NamedTuple):
    """The active configuration as typed values."""

    version: int
    classes_by_name: dict[str, WorkClass]
    endpoints_by_id: dict[str, Endpoint]
    policy: Policy
    assignments_by_id: dict[str, Assignment]
    customers_by_name: dict[str, Customer]


def view(version, value_by_key):
    """Build the view from typed values by key.

    The values were checked when their records were applied; checking a
    large fleet again at each change would delay the running streams.
    """
    named = {prefix: {} for prefix in _TYPE_BY_PREFIX}
    for key, value in value_by_key.items():
        prefix, _, name = key.partition("/")
        named[prefix][name] = value
    return View(
        version,
        named["class"],
        named["endpoint"],
        named["policy"].get("", Policy()),
        named["assignment"],
        named["customer"],
    )
