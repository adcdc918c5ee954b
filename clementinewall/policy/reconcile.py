"""The next order for an engine, from its report and its desired state.

No state is kept between two orders: a steward that takes over a scope in the
middle of a change continues from what the engine reports.  An engine is
changed only while it is quiesced and empty, so a change cuts no request.
"""

import typing


class DesiredState(typing.NamedTuple):
    """The desired state of an engine; an empty string changes nothing."""

    state: str
    role: str = ""
    version: str = ""


class Step(typing.NamedTuple):
    """An order to send, or only the reason why there is none."""

    order: str
    value: str
    reason: str


def next_step(desired, report, may_change):
    """Return the next step.

    ``may_change`` tells whether this engine may be taken out of service for a
    change now, as only one engine of a model may be at a time.
    """
    differs = _difference(desired, report)
    if report.changing:
        return Step("", "", "a change is under way")
    if desired.state != "serving":
        if report.quiesced:
            return Step("", "", "draining and quiesced")
        return Step("quiesce", "", "draining")
    if differs is None:
        if report.quiesced:
            return Step("resume", "", "in the desired state")
        return Step("", "", "in the desired state")
    if not may_change:
        return Step("", "", "another engine of the model is changing")
    if not report.quiesced:
        return Step("quiesce", "", f"before {differs[0]}")
    if report.running:
        return Step("", "", f"waiting for {report.running} streams to end")
    return Step(differs[0], differs[1], "quiesced and empty")


def needs_change(desired, report):
    """Tell whether the engine must be taken out of service for a change."""
    return desired.state == "serving" and (
        _difference(desired, report) is not None
    )


def _difference(desired, report):
    if desired.role and desired.role != report.role:
        return ("set_role", desired.role)
    if desired.version and desired.version != report.version:
        return ("load", desired.version)
    return None
