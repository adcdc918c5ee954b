"""One log line for each decision: a prefix, a short sentence, the fields.

Every part of the system logs through a :class:`PartLog` with a fixed prefix,
so that ``grep '^route:'`` finds all routing decisions whoever took them.  The
recent lines are kept in a bounded ring too, from which ``clementinewall
explain`` answers what was decided about a request or an endpoint.
"""

import collections
import json
import sys
import traceback as traceback_module

import loguru

from clementinewall import _log_writer

RECENT_LIMIT = 4_000

_recent = collections.deque(maxlen=RECENT_LIMIT)
_IMPORTANT = frozenset(("WARNING", "ERROR"))


class PartLog:
    """The log of one part, known by its prefix."""

    def __init__(self, prefix):
        """Keep the prefix, written before each sentence."""
        self._prefix = prefix

    def info(self, sentence, **fields):
        """Log a decision."""
        self._log("INFO", sentence, fields)

    def debug(self, sentence, **fields):
        """Log a detail that helps only while looking for a cause."""
        self._log("DEBUG", sentence, fields)

    def warning(self, sentence, **fields):
        """Log what an operator should look at."""
        self._log("WARNING", sentence, fields)

    def error(self, sentence, **fields):
        """Log what broke."""
        self._log("ERROR", sentence, fields)

    def _log(self, level, sentence, fields):
        if level != "DEBUG":
            _recent.append((self._prefix, sentence, fields))
        bound = loguru.logger.bind(prefix=self._prefix, fields=fields)
        bound.log(level, "{}: {}", self._prefix, sentence)


def recent(about, limit=50):
    """Return the last lines in which a field has the value ``about``."""
    found = [
        {"part": prefix, "sentence": sentence, **fields}
        for prefix, sentence, fields in _recent
        if about in (str(value) for value in fields.values())
    ]
    return found[-limit:]


def configure(logging, instance_id):
    """Send the log to standard error in the form of the settings."""
    loguru.logger.remove()
    write = _write_json if logging.json else _write_text

    def sink(message):
        write(message.record, instance_id)

    loguru.logger.add(sink, level=logging.level)


def _write_text(record, instance_id):
    fields = record["extra"].get("fields", {})
    tail = " ".join(f"{key}={value}" for key, value in fields.items())
    stamp = record["time"].strftime("%H:%M:%S.%f")[:-3]
    line = f"{stamp} {instance_id} {record['message']}"
    sys.stderr.write(f"{line} {tail}\n" if tail else f"{line}\n")
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

    Return the writer: its owner calls ``flush`` several times a second.
    """
    writer = _log_writer.Writer(sys.stdout.fileno())
    loguru.logger.remove()

    def sink(message):
        record = message.record
        line = {
            "time": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            "instance": instance_id,
            "message": record["message"],
        }
        line.update(record["extra"].get("fields", {}))
        text = json.dumps(line, default=str) + "\n"
        writer.add(text.encode(), record["level"].name in _IMPORTANT)

    loguru.logger.add(sink, level="INFO", format="{message}")
    return writer


def traceback(part):
    """Log the traceback of the exception that is being handled."""
    part.error("traceback", lines=traceback_module.format_exc())
