"""Checked construction of ``NamedTuple`` shapes from decoded data.

Settings, published configuration, log records and messages between processes
all arrive as plain maps.  ``build`` walks the annotations of a ``NamedTuple``
and turns such a map into a typed value or into the full list of its mistakes,
so that all mistakes of a file can be corrected at once and no process works
with a partly decoded message.
"""

import importlib
import types
import typing


class Range(typing.NamedTuple):
    """An inclusive range of numbers, for use in ``typing.Annotated``."""

    low: float
    high: float


class OneOf(typing.NamedTuple):
    """The allowed strings, for use in ``typing.Annotated``."""

    words: tuple[str, ...]


class Mistake(typing.NamedTuple):
    """One mistake: where it is, what was found and what is allowed."""

    path: str
    found: str
    allowed: str

    def __str__(self):
        """Render as a message for the user."""
        return f"{self.path}: found {self.found}, allowed is {self.allowed}"


class _Absent:
    """The type of ``ABSENT``."""


ABSENT = _Absent()
_NAME_BY_TYPE = {str: "a string", int: "a whole number", bool: "true or false"}
_MAX_FOUND_CHARS = 60


def build(shape, data, path=""):
    """Return ``(value, mistakes)``; ``value`` is ``None`` if there are any."""
    mistakes = []
    value = _build(shape, data, path, mistakes)
    return (None if mistakes else value), tuple(mistakes)


def plain(value):
    """Turn a built value back into maps and lists for encoding."""
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return {name: plain(getattr(value, name)) for name in value._fields}
    if isinstance(value, (tuple, list)):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    return value


def _shorten(data):
    text = repr(data)
    if len(text) > _MAX_FOUND_CHARS:
        return text[:_MAX_FOUND_CHARS] + "..."
    return text


def _add_mistake(mistakes, path, data, allowed):
    mistakes.append(Mistake(path or "(all)", _shorten(data), allowed))
    return None


def _build(shape, data, path, mistakes):
    origin = typing.get_origin(shape)
    if origin is typing.Annotated:
        return _annotated(shape, data, path, mistakes)
    if origin in (typing.Union, types.UnionType):
        return _optional(shape, data, path, mistakes)
    if origin is tuple:
        return _sequence(shape, data, path, mistakes)
    if origin is dict:
        return _mapping(shape, data, path, mistakes)
    if hasattr(shape, "_fields"):
        return _record(shape, data, path, mistakes)
    return _scalar(shape, data, path, mistakes)


def _annotated(shape, data, path, mistakes):
    base, *limits = typing.get_args(shape)
    count_before = len(mistakes)
    value = _build(base, data, path, mistakes)
    if len(mistakes) > count_before:
        return None
    for limit in limits:
        if isinstance(limit, Range) and not limit.low <= value <= limit.high:
            return _add_mistake(
                mistakes, path, data, f"{limit.low} to {limit.high}"
            )
        if isinstance(limit, OneOf) and value not in limit.words:
            return _add_mistake(mistakes, path, data, " or ".join(limit.words))
    return value


def _optional(shape, data, path, mistakes):
    if data is None:
        return None
    inner = [arg for arg in typing.get_args(shape) if arg is not type(None)]
    return _build(inner[0], data, path, mistakes)


def _sequence(shape, data, path, mistakes):
    if not isinstance(data, (list, tuple)):
        return _add_mistake(mistakes, path, data, "a list")
    inner = typing.get_args(shape)[0]
    return tuple(
        _build(inner, item, f"{path}[{index}]", mistakes)
        for index, item in enumerate(data)
    )


def _mapping(shape, data, path, mistakes):
    if not isinstance(data, dict):
        return _add_mistake(mistakes, path, data, "a table")
    inner = typing.get_args(shape)[1]
    return {
        str(key): _build(inner, item, f"{path}.{key}", mistakes)
        for key, item in data.items()
    }


def _record(shape, data, path, mistakes):
    if not isinstance(data, dict):
        return _add_mistake(mistakes, path, data, "a table")
    hints = typing.get_type_hints(shape, include_extras=True)
    _check_unknown(hints, data, path, mistakes)
    values = {}
    for name, hint in hints.items():
        where = f"{path}.{name}" if path else name
        if name in data:
            values[name] = _build(hint, data[name], where, mistakes)
        elif name not in shape._field_defaults:
            _add_mistake(
                mistakes, where, ABSENT, "a value: the key is required"
            )
    if len(values) + len(shape._field_defaults) < len(hints) or mistakes:
        return None
    return shape(**values)


def _check_unknown(hints, data, path, mistakes):
    for key in data:
        if key in hints:
            continue
        # Loaded for mistakes only, which most starts don't have.
        difflib = importlib.import_module("difflib")
        near = difflib.get_close_matches(str(key), list(hints), 1, 0.0)
        where = f"{path}.{key}" if path else str(key)
        nearest = near[0] if near else "no key"
        _add_mistake(mistakes, where, key, f"no such key (nearest: {nearest})")


def _scalar(shape, data, path, mistakes):
    if shape is typing.Any:
        return data
    if shape is float:
        if isinstance(data, (int, float)) and not isinstance(data, bool):
            return float(data)
        return _add_mistake(mistakes, path, data, "a number")
    # bool is a subclass of int: "limit = true" would otherwise be accepted as
    # the number 1 and would limit the process to one request.
    if isinstance(data, bool) and shape is not bool:
        return _add_mistake(
            mistakes, path, data, _NAME_BY_TYPE.get(shape, str(shape))
        )
    if isinstance(data, shape):
        return data
    return _add_mistake(
        mistakes, path, data, _NAME_BY_TYPE.get(shape, str(shape))
    )


def _absent_repr(_self):
    return "nothing"


_Absent.__repr__ = _absent_repr
