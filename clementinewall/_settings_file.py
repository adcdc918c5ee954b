"""Reading of settings files, whatever they hold."""

import tomllib

from clementinewall import errors


def read_toml(path):
    """Return the content of a TOML file.

    :raises SettingsError: it can't be read.
    """
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as exc:
        raise errors.SettingsError(f"{path}: {exc.strerror}") from exc
    except (ValueError, RecursionError) as exc:
        raise errors.SettingsError(f"{path}: not TOML: {exc}") from exc


def raise_mistakes(path, mistakes):
    """Raise an error if there are mistakes in the file at ``path``.

    :raises SettingsError: naming the file, and each of the mistakes.
    """
    if mistakes:
        lines = "\n".join(f"{path}: {mistake}" for mistake in mistakes)
        raise errors.SettingsError(lines)
