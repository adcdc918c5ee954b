"""What an egress tells a gateway of a connection that it shall open."""

ACCEPTED = b"+"
REFUSED = b"-"
