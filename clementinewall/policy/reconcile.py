"""The next order for an engine, from its own report and what is wanted.

Nothing is remembered between two orders: a steward that takes a scope over
in the middle of a change goes on from what the engine reports.  An engine
is changed only while it is quiesced and empty, so a change cuts nothing.
"""

import typing


class DesiredState(typing.NamedTuple):
    """What is wanted of an engine; an empty word leaves it as it is."""

    state: str
    role: str = ""
    version: str = ""


class Step(typing.NamedTuple):
    """An order to send, or only the reason why there is none."""

    order: str
    value: str
    reason: str


def next_step(wanted, report, may_change):
    """Return the next step.

    ``may_change`` tells whether this engine may be taken away from work
    now, which only one engine of a model may be at a time.
    """
    differs = _difference(wanted, report)
    if report.changing:
        return Step("", "", "a change is under way")
    if wanted.state != "serving":
        if report.quiesced:
            return Step("", "", "it is leaving and takes no work")
        return Step("quiesce", "", "it is leaving")
    if differs is None:
        if report.quiesced:
            return Step("resume", "", "it is as wanted")
        return Step("", "", "it is as wanted")
    if not may_change:
        return Step("", "", "another engine of its model is changing")
    if not report.quiesced:
        return Step("quiesce", "", f"before {differs[0]}")
    if report.running:
        return Step("", "", f"waits for {report.running} streams")
    return Step(differs[0], differs[1], "it is empty")


def needs_change(wanted, report):
    """Tell whether the engine must be taken away from work for a change."""
    return wanted.state == "serving" and (
        _difference(wanted, report) is not None
    )


def _difference(wanted, report):
    if wanted.role and wanted.role != report.role:
        return ("set_role", wanted.role)
    if wanted.version and wanted.version != report.version:
        return ("load", wanted.version)
    return None
