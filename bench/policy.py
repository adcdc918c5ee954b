"""The policy against baselines, on replays of traces.

Usage:
  policy [--seeds=LIST] [--trace=NAME]... [--deployment=NAME] [--json]
         [--load=L] [--quick]

Options:
  --seeds=LIST       Reporting seeds [default: 101,102,103,104,105].
  --trace=NAME       Only these traces, or files of JSON lines.
  --deployment=NAME  harvest or groupement; both by default.
  --load=L           Part of the mixed fleet's time [default: 0.8].
  --quick            Only policy, no changes, best static and threshold.
  --json             Print JSON.
"""

import concurrent.futures
import json
import os
import statistics

import docopt

from bench import replay
from bench import strategies
from bench import traces
from clementinewall.records import configuration

# Engines and policy of each deployment, the same over all traces: Harvest
# Crate gives goodput more weight, the Groupement the cost of role changes.
DEPLOYMENTS = {
    "harvest": (6, configuration.Policy(change_price=0.2)),
    "groupement": (5, configuration.Policy(change_price=4.0)),
}
WORKERS = max(1, (os.cpu_count() or 2) // 2)


def run_one(job):
    """Replay one trace by one strategy; picklable for worker processes."""
    deployment, name, seed, load, strategy = job
    count, policy = DEPLOYMENTS[deployment]
    if os.path.exists(name):
        plan = traces.read(name)
    else:
        plan = traces.make(name, seed, count, load)
    result = replay.Replay(plan, count, strategy, policy, seed).run()
    bound = strategies.capacity_bound(plan, count)
    return job, result, bound


def compare(deployments, names, seeds, load, quick=False):
    """Return the rows of the table, one for each deployment and trace."""
    jobs = [
        (deployment, name, seed, load, strategy)
        for deployment in deployments
        for name in names
        for seed in seeds
        for strategy in strategies.strategies(DEPLOYMENTS[deployment][0])
        if not quick or _is_quick(strategy)
    ]
    table = {}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for job, result, bound in pool.map(run_one, jobs, chunksize=4):
            deployment, name, _, _, strategy = job
            row = table.setdefault((deployment, name), {})
            row.setdefault(strategy.name, []).append(result)
            row.setdefault("bound", []).append(bound)
    return [_row(key, row) for key, row in table.items()]


def _is_quick(strategy):
    words = ("policy", "no changes", "threshold")
    return strategy.name in words or strategy.name.startswith("static")


def _row(key, results):
    bound = statistics.mean(results.pop("bound"))
    goodput = {
        name: statistics.mean(r.goodput for r in rows)
        for name, rows in results.items()
    }
    static = {n: g for n, g in goodput.items() if n.startswith("static")}
    static["no changes"] = goodput["no changes"]
    best = max(static, key=static.get)
    own = results["policy"]
    return {
        "deployment": key[0],
        "trace": key[1],
        "policy": goodput["policy"],
        "spread": max(r.goodput for r in own) - min(r.goodput for r in own),
        "bound": bound,
        "best_static": static[best],
        "best_static_is": best,
        "goodput": goodput,
        "changes": _mean(own, "role_changes"),
        "threshold_changes": _mean(results["threshold"], "role_changes"),
        "lost_engine_s": _mean(own, "lost_engine_ms") / 1_000,
        "refused": _mean(own, "refused") / _mean(own, "offered"),
        "hits": _mean(own, "cache_hits"),
        "first_p95": statistics.mean(_percentile(r.firsts, 95) for r in own),
        "gap_p95": statistics.mean(_percentile(r.gaps, 95) for r in own),
        "good_others": _mean(own, "good_others"),
    }


def _mean(results, name):
    return statistics.mean(getattr(r, name) for r in results)


def _percentile(values, percent):
    if len(values) < 2:
        return 0.0
    return statistics.quantiles(values, n=100)[percent - 1]


def main():
    """Compare and print the table."""
    options = docopt.docopt(__doc__)
    names = options["--trace"] or list(traces.NAMES)
    deployments = (
        [options["--deployment"]]
        if options["--deployment"]
        else list(DEPLOYMENTS)
    )
    seeds = [int(text) for text in options["--seeds"].split(",")]
    rows = compare(
        deployments,
        names,
        seeds,
        float(options["--load"]),
        options["--quick"],
    )
    if options["--json"]:
        print(json.dumps(rows, indent=1))
        return
    print(render(rows))


def render(rows):
    """Return the rows as a Markdown table."""
    lines = [
        "| deployment | trace | policy | spread | bound | no changes | best "
        "static | threshold | random | least open | no affinity | changes | "
        "threshold changes | lost engine s | refused | first p95 | gap p95 |",
        "|---" * 17 + "|",
    ]
    for row in rows:
        goodput = row["goodput"]
        cells = [
            row["deployment"],
            row["trace"],
            f"{row['policy']:.3f}",
            f"{row['spread']:.3f}",
            f"{row['bound']:.2f}",
            f"{goodput['no changes']:.3f}",
            f"{row['best_static']:.3f} ({row['best_static_is']})",
            *[
                f"{goodput[name]:.3f}" if name in goodput else "-"
                for name in (
                    "threshold",
                    "random",
                    "least open",
                    "no affinity",
                )
            ],
            f"{row['changes']:.1f}",
            f"{row['threshold_changes']:.1f}",
            f"{row['lost_engine_s']:.0f}",
            f"{row['refused']:.3f}",
            f"{row['first_p95']:.0f}",
            f"{row['gap_p95']:.1f}",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


if __name__ == "__main__":
    main()
