"""Publish configurations, wait until they are active, query the system.

Usage:
  clementinewall [options] check FILE
  clementinewall [options] publish FILE [--anew]
  clementinewall [options] diff FILE
  clementinewall [options] show [KEY]
  clementinewall [options] wait VERSION [--timeout-ms=N]
  clementinewall [options] status
  clementinewall [options] drain ENDPOINT
  clementinewall [options] withdraw ENDPOINT
  clementinewall [options] serve ENDPOINT
  clementinewall [options] replace ENDPOINT ADDRESS
  clementinewall [options] explain ABOUT
  clementinewall [options] story REQUEST LOG...
  clementinewall --help

Options:
  --settings=FILE   The operator's settings [default: operator.toml].
  --json            Print JSON for scripts.
  --timeout-ms=N    How long to wait [default: 6000].
  --anew            Write a first state after the log lost every record.

Examples:
  clementinewall publish fleet.toml
  clementinewall wait 412 && echo "active everywhere"
  clementinewall drain engine-3
  clementinewall explain engine-3
  clementinewall story 9c41d07be2a35f68 gateway-*.log

Exit codes:
  0 done, 1 failed, 2 bad input, 3 conflict with another change, 4 not
  active in time, 5 unknown: the change may have been made, see 'show'.
"""

import contextlib
import functools
import json
import sys

import anyio
import docopt

from clementinewall import _settings_file
from clementinewall import errors
from clementinewall.operator import request_trace
from clementinewall.operator import session
from clementinewall.operator import tables
from clementinewall.records import configuration
from clementinewall import settings

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_NOT_ACTIVE = 4
EXIT_UNKNOWN = 5

_EXIT_BY_TYPE = {
    errors.SettingsError: EXIT_BAD_INPUT,
    errors.BadRequest: EXIT_BAD_INPUT,
    errors.Conflict: EXIT_CONFLICT,
    errors.AppendUnknown: EXIT_UNKNOWN,
}


async def _check(options, _connection):
    by_key = configuration.flatten(_settings_file.read_toml(options["FILE"]))
    return {"good": True, "keys": sorted(by_key)}, 0


async def _publish(options, connection):
    document = _settings_file.read_toml(options["FILE"])
    configuration.flatten(document)
    if options["--anew"]:
        offset = await connection.publish_initial(document)
        return {"version": offset, "changed": "all"}, 0
    outcome, differences = await connection.publish(document)
    if outcome is None:
        return {"version": None, "changed": []}, 0
    changed = [difference.key for difference in differences]
    return {"version": outcome.offset, "changed": changed}, 0


async def _diff(options, connection):
    state = await connection.read_state()
    document = _settings_file.read_toml(options["FILE"])
    differences = session.compare(state, document)
    return [difference._asdict() for difference in differences], 0


async def _show(options, connection):
    state = await connection.read_state()
    if not state.known:
        raise errors.LogUnavailable(
            "neither the log nor an instance has a state; see 'publish --anew'"
        )
    key = options["KEY"]
    if key is None:
        return {"version": state.version, "keys": state.data_by_key}, 0
    if key not in state.data_by_key:
        raise errors.BadRequest(f"the active configuration has no key {key!r}")
    offset = state.offset_by_key[key]
    return {"version": offset, "keys": {key: state.data_by_key[key]}}, 0


async def _wait(options, connection):
    version = _number(options["VERSION"], "VERSION")
    timeout = _number(options["--timeout-ms"], "--timeout-ms")
    behind = await connection.wait_active(version, timeout)
    code = EXIT_NOT_ACTIVE if behind else 0
    return {"version": version, "behind": behind}, code


async def _status(_options, connection):
    status_by_id = await connection.statuses()
    state = await connection.read_state()
    rows = {
        name: {
            "kind": row.kind,
            "data_centre": row.data_centre,
            "state": row.state,
            "address": row.address,
        }
        for name, row in state.view.endpoints_by_id.items()
    }
    held = {
        scope: {"holder": held.holder, "fence": held.offset}
        for scope, held in sorted(state.held_by_scope.items())
        if not held.released
    }
    instances = {
        name: {
            "version": status["version"],
            "ready": status["ready"],
            "state": status["state"],
            "log": status["log_reachable"],
        }
        for name, status in sorted(status_by_id.items())
    }
    answer = {"instances": instances, "endpoints": rows, "scopes": held}
    return answer, 0 if instances else EXIT_FAILED


async def _edit(options, connection, **members):
    outcome = await connection.edit_endpoint(options["ENDPOINT"], **members)
    return {"version": outcome.offset, "changed": [options["ENDPOINT"]]}, 0


async def _replace(options, connection):
    address = options["ADDRESS"]
    if not settings.is_address(address):
        raise errors.BadRequest(f"ADDRESS: found {address!r}, give IP:port")
    return await _edit(options, connection, address=address, state="serving")


async def _explain(options, connection):
    return await connection.explain(options["ABOUT"]), 0


async def _request_trace(options, _connection):
    """Print the trace of a request from log files, without any query."""
    with contextlib.ExitStack() as stack:
        try:
            files = [
                stack.enter_context(open(path, errors="replace"))
                for path in options["LOG"]
            ]
        except OSError as exc:
            raise errors.SettingsError(
                f"{exc.filename}: {exc.strerror}"
            ) from exc
        found, deciding_line = request_trace.collect(
            request_trace.read(files), options["REQUEST"]
        )
    if options["--json"]:
        return [line._asdict() for line in found], 0 if found else EXIT_FAILED
    return request_trace.render(
        found, deciding_line
    ), 0 if found else EXIT_FAILED


_COMMANDS = {
    "check": _check,
    "publish": _publish,
    "diff": _diff,
    "show": _show,
    "wait": _wait,
    "status": _status,
    "drain": functools.partial(_edit, state="draining"),
    "withdraw": functools.partial(_edit, state="withdrawn"),
    "serve": functools.partial(_edit, state="serving"),
    "replace": _replace,
    "explain": _explain,
    "story": _request_trace,
}
# Commands that read only files and need no settings.
_OFFLINE_COMMANDS = ("check", "story")


def main():
    """Run one command."""
    options = docopt.docopt(__doc__)
    raise SystemExit(anyio.run(_run, options))


async def _run(options):
    name = next(name for name in _COMMANDS if options[name])
    try:
        connection = None
        if name not in _OFFLINE_COMMANDS:
            checked = settings.load(
                options["--settings"], settings.OperatorSettings
            )
            connection = session.Session(checked)
        answer, code = await _COMMANDS[name](options, connection)
    except errors.ClementinewallError as exc:
        sys.stderr.write(f"{exc.code}: {exc.message}\n")
        return _EXIT_BY_TYPE.get(type(exc), EXIT_FAILED)
    if options["--json"]:
        print(json.dumps(answer))
    else:
        print(tables.render(answer))
    return code


def _number(text, name):
    if not text.isdigit():
        raise errors.BadRequest(f"{name}: found {text!r}, give a number")
    return int(text)
