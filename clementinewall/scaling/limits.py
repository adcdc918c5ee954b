"""The operator's own bounds of the number of engines of a service."""

import re
import typing

from clementinewall import errors

_PATTERN = re.compile(r"([^=\s]+)=(\d{1,6})(?:-(\d{1,6}))?")


class Limits(typing.NamedTuple):
    """How many engines a service has over all data centres."""

    least: int = 0
    most: int = 1_000_000


def parse(texts):
    """Return the limits by service of texts like ``NAME=4`` or ``NAME=4-9``.

    :raises SettingsError: a text is malformed, empty or named twice.
    """
    limits_by_service = {}
    for text in texts:
        match = _PATTERN.fullmatch(text)
        if match is None:
            raise errors.SettingsError(
                f"--engines={text}: give SERVICE=N or SERVICE=MIN-MAX"
            )
        name, least, most = match.groups()
        found = Limits(int(least), int(most or least))
        if found.least > found.most:
            raise errors.SettingsError(
                f"--engines={text}: the minimum is above the maximum"
            )
        if name in limits_by_service:
            raise errors.SettingsError(
                f"--engines={text}: {name} has limits already"
            )
        limits_by_service[name] = found
    return limits_by_service
