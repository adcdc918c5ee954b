"""Compare placement policies on simulated engines.

Usage:
  clementinewall-lab DEPLOYMENT [options] [--policy=POLICY]...
  clementinewall-lab --help

Options:
  --policy=POLICY  gateway, one-scale (without the speeds of single engines),
                   shortest-queue, random or random-split; to override
                   constants of modules of clementinewall.policy, give
                   NAME:module.CONSTANT=VALUE,...  The default is gateway,
                   random and random-split.
  --load=X         Multiply the request rates of all classes [default: 1.0].
  --gateways=N     Simulate N gateways, with engines and request rates in
                   proportion.
  --reading=PART   Fraction of the engines that prefill, instead of the
                   deployment file's.
  --seconds=S      Duration of the load in seconds [default: 20].
  --seeds=LIST     Random seeds, one run for each [default: 1,2,3].
  --jobs=N         Worker processes [default: 2].
  --json           Print JSON instead of a table.
  --plot=FILE      Also draw credit and bound into a PNG file (needs
                   matplotlib).

Exit codes: 0 completed, 2 bad command line or deployment file.
"""

import multiprocessing
import random
import sys
import typing

import docopt
import loguru

from clementinewall import errors
from clementinewall.lab import deployment as deployments
from clementinewall.lab import load
from clementinewall.lab import policies
from clementinewall.lab import report
from clementinewall.lab import simulation

LOGGED_PACKAGE = "clementinewall.logs"
DEFAULT_POLICIES = ("gateway", "random", "random-split")


class Job(typing.NamedTuple):
    """One run: a deployment, a policy and a seed."""

    deployment: deployments.Deployment
    policy: policies.Policy
    seed: int
    seconds: float


def play(job):
    """Simulate one run and return its :class:`report.Summary`.

    The gateways' code adds jitter to retry delays from the global random
    generator, which is seeded here so that runs repeat.  It also logs each
    decision, so logging is disabled during the run.
    """
    arrivals = load.draw(job.deployment, job.seconds, job.seed)
    random.seed(job.seed)
    loguru.logger.disable(LOGGED_PACKAGE)
    try:
        simulated = simulation.Simulation(job.deployment, job.policy, job.seed)
        run = simulated.run(arrivals)
    finally:
        loguru.logger.enable(LOGGED_PACKAGE)
    return report.summarize(job.deployment, arrivals, run, job.seconds)


def play_all(jobs, processes):
    """Simulate all runs; return each policy's mean summary by its text."""
    with multiprocessing.Pool(processes) as pool:
        found = pool.map(play, jobs, chunksize=1)
    summaries_by_policy = {}
    for job, summary in zip(jobs, found, strict=True):
        summaries_by_policy.setdefault(job.policy.text, []).append(summary)
    return {
        name: report.mean(rows) for name, rows in summaries_by_policy.items()
    }


def parse_jobs(options):
    """Return the runs that a command line asks for.

    :raises SettingsError: an option or the deployment file is invalid.
    """
    deployment = deployments.load(options["DEPLOYMENT"])
    factor = _number(options, "--load")
    if options["--gateways"] is not None:
        count = round(_number(options, "--gateways"))
        part = count / deployment.gateways.count
        engines = deployment.engines
        engines = engines._replace(count=max(2, round(engines.count * part)))
        deployment = deployment._replace(
            gateways=deployment.gateways._replace(count=count),
            engines=engines,
        )
        factor *= part
    classes = {
        name: row._replace(per_s=row.per_s * factor)
        for name, row in deployment.classes.items()
    }
    deployment = deployment._replace(classes=classes)
    if options["--reading"] is not None:
        part = _number(options, "--reading")
        engines = deployment.engines._replace(reading_part=part)
        deployment = deployment._replace(engines=engines)
    seconds = _number(options, "--seconds")
    return [
        Job(deployment, policies.parse(text), seed, seconds)
        for text in options["--policy"] or DEFAULT_POLICIES
        for seed in _seeds(options["--seeds"])
    ]


def _number(options, name):
    try:
        number = float(options[name])
    except ValueError:
        number = 0.0
    if not 0 < number < 1e6:
        found = options[name]
        raise errors.SettingsError(
            f"{name}: found {found!r}, give a number above 0"
        )
    return number


def _seeds(text):
    try:
        return [int(seed) for seed in text.split(",")]
    except ValueError as exc:
        raise errors.SettingsError(f"--seeds: {exc}") from exc


def main():
    """Parse the command line, simulate and print the report."""
    options = docopt.docopt(__doc__)
    try:
        jobs = parse_jobs(options)
        processes = max(1, int(_number(options, "--jobs")))
        found = play_all(jobs, processes)
        if options["--plot"]:
            report.plot(found, options["--plot"])
    except errors.SettingsError as exc:
        sys.stderr.write(f"{exc.message}\n")
        raise SystemExit(2) from None
    except ImportError as exc:
        sys.stderr.write(f"--plot: {exc}; install clementinewall[plots]\n")
        raise SystemExit(2) from None
    print(report.to_json(found) if options["--json"] else report.table(found))


if __name__ == "__main__":
    main()
