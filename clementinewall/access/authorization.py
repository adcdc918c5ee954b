"""Whether a request may be served, by the key that it carries."""

from clementinewall import errors
from clementinewall.platform import calls


def authorize(configuration, route, call):
    """Return the call as its customer's, without its key.

    Where the configuration names no customers, the call stays as it is.

    :raises UnknownKey: the route needs a key, and the call has none that is
        in force.
    """
    customer_by_key = configuration.customer_by_key
    if customer_by_key is None:
        return call
    if route.is_public:
        return calls.of_customer(call, None)
    customer = customer_by_key.get(call.key)
    if customer is None:
        why = "is unknown" if call.key else "is missing"
        raise errors.UnknownKey(
            f"the key {why}; route {route.name} needs one that is in force"
        )
    return calls.of_customer(call, customer)
