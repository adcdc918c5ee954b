"""The line in which gateways stand for what one of them does for all."""

import collections


def order(names, data_centre_by_name):
    """Return the names in line: data centres take turns, then by name.

    A fault often hits all gateways of a data centre.  Who is next in line
    after such a fault then stands in another one, and waits for one place.
    """
    places = collections.Counter()
    keys = []
    for name in sorted(names):
        data_centre = data_centre_by_name[name]
        keys.append((places[data_centre], data_centre, name))
        places[data_centre] += 1
    return [name for _, _, name in sorted(keys)]
