"""Structured logging: each line has a prefix, a message and fields.

Every component logs through a :class:`PartLog` with a fixed prefix, so that
``grep '^route:'`` finds all routing decisions of all modules.  Recent lines
are also kept in a ring buffer, from which ``clementinewall explain`` answers
what was decided about a request or an endpoint.

Lines go through loguru, except those of a gateway, which writes them itself:
loading loguru takes a good part of the processor time of a start.
"""

import collections
import importlib
import json
import sys
import time
import traceback as traceback_module

from clementinewall import _log_writer

MAX_RECENT_LINES = 4_000

_recent = collections.deque(maxlen=MAX_RECENT_LINES)
_IMPORTANT = frozenset(("WARNING", "ERROR"))


class PartLog:
    """The logger of one component, with its prefix."""

    def __init__(self, prefix):
        """Take the prefix that is written before each message."""
        self._prefix = prefix

    def info(self, sentence, **fields):
        """Log a decision or a change of state."""
        self._log("INFO", sentence, fields)

    def debug(self, sentence, **fields):
        """Log a detail that is of use only in debugging."""
        self._log("DEBUG", sentence, fields)

    def warning(self, sentence, **fields):
        """Log a condition that an operator should look into."""
        self._log("WARNING", sentence, fields)

    def error(self, sentence, **fields):
        """Log a failure."""
        self._log("ERROR", sentence, fields)

    def _log(self, level, sentence, fields):
        if level != "DEBUG":
            _recent.append((self._prefix, sentence, fields))
        _write(level, self._prefix, sentence, fields)


def _loguru():
    return importlib.import_module("loguru").logger


def _write_by_loguru(level, prefix, sentence, fields):
    bound = _loguru().bind(prefix=prefix, fields=fields)
    bound.log(level, "{}: {}", prefix, sentence)


_write = _write_by_loguru


def recent(about, limit=50):
    """Return up to ``limit`` last lines with a field of value ``about``."""
    found = [
        {"part": prefix, "sentence": sentence, **fields}
        for prefix, sentence, fields in _recent
        if about in (str(value) for value in fields.values())
    ]
    return found[-limit:]


def configure(logging, instance_id):
    """Send the log to standard error, in the format that the settings give."""
    logger = _loguru()
    logger.remove()
    write = _write_json if logging.json else _write_text

    def sink(message):
        write(message.record, instance_id)

    logger.add(sink, level=logging.level)


def _write_text(record, instance_id):
    fields = record["extra"].get("fields", {})
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    timestamp = record["time"].strftime("%H:%M:%S.%f")[:-3]
    line = f"{timestamp} {instance_id} {record['message']}"
    sys.stderr.write(f"{line} {pairs}\n" if pairs else f"{line}\n")
    if record["exception"] is not None:
        sys.stderr.write(f"{record['exception'].value!r}\n")


def _write_json(record, instance_id):
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "instance": instance_id,
        "message": record["message"],
    }
    line.update(record["extra"].get("fields", {}))
    sys.stderr.write(json.dumps(line, default=str) + "\n")


def to_standard_output(instance_id):
    """Send the log to standard output as JSON lines, never blocking.

    Return the writer; the caller must call its ``flush`` several times a
    second.
    """
    global _write
    writer = _log_writer.Writer(sys.stdout.fileno())

    def write(level, prefix, sentence, fields):
        if level == "DEBUG":
            return
        line = {
            "time": round(time.time(), 3),
            "level": level,
            "instance": instance_id,
            "message": f"{prefix}: {sentence}",
            **fields,
        }
        text = json.dumps(line, default=str) + "\n"
        writer.add(text.encode(), level in _IMPORTANT)

    _write = write
    return writer


def traceback(part):
    """Log the traceback of the exception that is being handled."""
    part.error("traceback", lines=traceback_module.format_exc())
