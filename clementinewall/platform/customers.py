"""Decoding of the customers and keys in a configuration."""

from clementinewall import domain


def by_key(rows):
    """Return the customer of each key, ``None`` without customers.

    A customer whose keys were all removed is listed without keys.

    :raises AttributeError, KeyError, TypeError, ValueError: the list is
        malformed, or two customers have the same key or name.
    """
    if rows is None:
        return None
    if not isinstance(rows, list):
        raise ValueError("the customers are no list")
    customer_by_key = {}
    names = set()
    for row in rows:
        customer = domain.Customer(
            _name(row["name"]), _priority(row.get("priority"))
        )
        if customer.name in names:
            raise ValueError(f"customer {customer.name!r} is listed twice")
        names.add(customer.name)
        for key in _keys(row["api_keys"], customer):
            owner = customer_by_key.setdefault(key, customer)
            if owner is not customer:
                raise ValueError(
                    f"customers {owner.name!r} and {customer.name!r} have"
                    " the same key"
                )
    return customer_by_key


def _keys(values, customer):
    if not isinstance(values, list):
        raise ValueError(f"customer {customer.name!r} has no list of keys")
    return [_text(value) for value in values]


def _name(value):
    """Return a name, which endpoints get in a header."""
    if not _text(value).isprintable():
        raise ValueError(f"the name {value!r} can't be sent in a header")
    return value


def _text(value):
    if not isinstance(value, str) or not value.strip():
        raise ValueError("a name or key of a customer is no text")
    return value


def _priority(value):
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{value!r} is not a priority")
    return value
