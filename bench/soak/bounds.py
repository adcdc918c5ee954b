"""The time limits, in seconds, and retry limits of a run."""

# Time that an undisturbed gateway has to recover after a disturbance.
RECOVERY_SECONDS = 4.0
# The deployment's bounds as configured at the gateways, and slack for one
# busy machine.
DRAINING_SECONDS = 2.0
CONFIGURATION_SECONDS = 2.0
GRACE_SECONDS = 3
SLACK_SECONDS = 0.7
ORDER_INTERVAL_SECONDS = 3.0
# A connection that closes within this time of its request: the request was
# sent while the gateway closed the connection.
CLOSE_RACE_SECONDS = 0.2
# 3 s of a grace of 8 s, scaled to the grace of these runs.
EARLY_IN_DRAIN_SECONDS = GRACE_SECONDS * 3 / 8
# When the last sixth of the grace begins.
END_OF_DRAIN_SECONDS = GRACE_SECONDS * 5 / 6
# Between a SIGTERM and the first readiness check that must fail.
UNREADY_SECONDS = 1.0
# An answer must arrive within this time after its limit, and work must end
# within it after the caller left.
AFTER_LIMIT_SECONDS = 0.5
# Time for which two engines may work on one stream.
ENGINE_OVERLAP_SECONDS = 0.4
MAX_ATTEMPTS = 2
# Between an endpoint's request for rest and the time from which it counts.
REST_DELAY_SECONDS = 0.5
# Requests of one gateway that may reach an endpoint in its rest.
MAX_ARRIVALS_IN_REST = 2
# From this time after an endpoint first named a request limit, it holds in
# each window: this many times the limit, and some requests beyond.
LIMIT_DELAY_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Between a gateway's first answer with the limit and the time from which its
# requests count.
TOLD_DELAY_SECONDS = 0.5
# Arrivals beyond the first of each request, for all gateways together.
RETRY_RATIO = 0.2
RETRY_SLACK = 10
RETRY_WINDOW_SECONDS = 10.0
# Gateways that are cut off from endpoints are judged from this time on: they
# serve this part of the others' share, or fail in no more requests than these.
STABLE_SECONDS = 3.0
MIN_CUT_SHARE = 2 / 3
CUT_FAILURES = 10
CUT_FAILURE_RATIO = 1 / 50
# After the loss of all gateways requests are judged from this time on: this
# part of them must be served, if it was before.
RESTART_SECONDS = 12.0
MIN_RESTART_SHARE = 1 / 4
JUDGED_RESTART_SECONDS = 4.0
MIN_JUDGED_REQUESTS = 8
RESTART_KINDS = ("safe", "unsafe", "stream", "long")
# Streams that may hold events of two software versions, and how often those
# that are taken up go on, against new ones.
MAX_MIXED_STREAMS = 2
MIN_JUDGED_RETURNS = 12
MIN_RETURN_SHARE = 0.5
# After a loss of gateways beside a release, streams that are taken up are
# judged from this time after all are ready, for so long.
REJOIN_SECONDS = 1.0
JUDGED_REJOIN_SECONDS = 5.0
MIN_JUDGED_REJOINED = 8
# Requests with a part that crashes engines may reach them so often later than
# the stable time after so many crashes; sound ones begin half as often.
PART_CRASHES = 5
MAX_LATE_PART_ARRIVALS = 3
MIN_JUDGED_STREAMS = 20
MIN_SOUND_SHARE = 0.5
