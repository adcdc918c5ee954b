"""The bounds of a run, in seconds, as gateways and checks know them."""

# What a gateway that is left alone has, after trouble, to be right again.
CALM_SECONDS = 4.0
# The deployment's bounds as the gateways are told them, and slack for one
# busy machine.
LEAVING_SECONDS = 2.0
CONFIGURATION_SECONDS = 2.0
GRACE_SECONDS = 3
SLACK_SECONDS = 0.7
TURN_SECONDS = 3.0
# A connection that ends sooner after its request had crossed the close.
LOSS_SLACK_SECONDS = 0.2
# 3 s of a grace of 8 s, scaled to the grace of these runs.
EARLY_IN_DRAIN_SECONDS = GRACE_SECONDS * 3 / 8
# When the last sixth of the grace begins.
END_OF_DRAIN_SECONDS = GRACE_SECONDS * 5 / 6
# Between a SIGTERM and the first readiness check that must fail.
UNREADY_SECONDS = 1.0
# Within this an answer is due after its limit, and work ends after its
# caller.
AFTER_LIMIT_SECONDS = 0.5
# While two engines may work on one stream.
TWO_ENGINES_SECONDS = 0.4
MAX_ATTEMPTS = 2
# Arrivals beyond the first of each request, for all gateways together.
RETRY_RATIO = 0.2
RETRY_SLACK = 10
RETRY_WINDOW_SECONDS = 10.0
