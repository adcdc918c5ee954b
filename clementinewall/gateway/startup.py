"""Starts a gateway: loads its settings, opens its log, runs its program."""

import functools

from clementinewall import errors
from clementinewall.gateway import program
from clementinewall import lifecycle
from clementinewall import logs
from clementinewall.platform import settings as platform_settings
from clementinewall.scaling import limits


_log = logs.PartLog("gateway")


def main(options, inbox, paced_ms=0.0):
    """Read the settings and run the gateway, or only check the settings.

    ``paced_ms`` is for how long the start waited for others.
    """
    read = functools.partial(_read_settings, options)
    settings = lifecycle.load(read)
    if options["--check"]:
        print(f"{options['--settings'] or 'settings'}: good")
        return
    log_writer = logs.to_standard_output(settings.instance)
    if paced_ms:
        _log.info("start waited for others", paced_ms=round(paced_ms))
    life = lifecycle.Lifecycle(inbox, settings, read)
    lifecycle.run(
        functools.partial(program.run, log_writer), life, log_writer.flush
    )


def _read_settings(options):
    settings = platform_settings.load(options["--settings"])
    settings = settings._replace(
        engine_limits_by_service=limits.parse(options["--engines"])
    )
    text = options["--metrics-port"]
    if text is None:
        return settings
    if not text.isdigit() or not 0 < int(text) < 65_536:
        raise errors.SettingsError(
            f"--metrics-port: found {text!r}, give a port from 1 to 65535"
        )
    return settings._replace(metrics_port=int(text))
