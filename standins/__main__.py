"""Start a stand-in by hand with ``python -m standins``.

Usage:
  standins log ADDRESS [--keep=N] [--slow-ms=N]
  standins instances ADDRESS [--lag-ms=N]
  standins engine ADDRESS [--id=ID] [--model=M]... [--gap-ms=N]
                    [--prefill-us=N] [--slots=N] [--change-ms=N]
                    [--role=R] [--ignore-fencing]
  standins service ADDRESS [--id=ID] [--delay-ms=N]
  standins proxy ADDRESS CONTROL TARGET
  standins egress ADDRESS CONTROL
  standins store ADDRESS
  standins duties ADDRESS [--lease-ms=N]

Options:
  --keep=N          Records kept in each stream [default: 100000].
  --slow-ms=N       Delay of each append [default: 2].
  --lag-ms=N        How late the list is [default: 500].
  --id=ID           Name in logs [default: endpoint].
  --model=M         A model that the engine serves.
  --gap-ms=N        Time between tokens [default: 10].
  --prefill-us=N    Time for one prompt token, in us [default: 20].
  --slots=N         Streams decoded at full speed [default: 16].
  --change-ms=N     Time a role change takes [default: 2000].
  --role=R          Role at the start [default: mixed].
  --ignore-fencing  Take orders whatever their fencing token.
  --delay-ms=N      Time a call takes [default: 5].
  --lease-ms=N      Time between two holders' calls [default: 3000].
"""

import anyio
import docopt

from standins import duty_service
from standins import egress
from standins import engine
from standins import instances
from standins import log
from standins import proxy
from standins import service
from standins import store

_MAIN_BY_COMMAND = {
    "log": log.main,
    "instances": instances.main,
    "engine": engine.main,
    "service": service.main,
    "proxy": proxy.main,
    "egress": egress.main,
    "store": store.main,
    "duties": duty_service.main,
}


def main():
    """Run the stand-in named on the command line."""
    options = docopt.docopt(__doc__)
    for command, run in _MAIN_BY_COMMAND.items():
        if options[command]:
            anyio.run(run, options)


main()
