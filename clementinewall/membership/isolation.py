"""Leaves one engine for requests that may crash the engine that runs them."""

import zlib

from clementinewall import domain


def isolated(state_by_id, engines, exchange):
    """Leave one decode engine, the same at all gateways, for a suspect part.

    If the part crashes engines, requests with it that come together cost one.
    The last decode engine, without which nothing is served, is spared.
    """
    suspect = exchange.suspect
    able = [
        state
        for state in engines
        if _decodes(state)
        and state.is_usable()
        and not state.path.is_unreached
        and state.endpoint.incarnation_name not in suspect.endpoints
    ]
    able.sort(key=lambda state: _rank(state, suspect.part))
    found = {k: s for k, s in state_by_id.items() if not _decodes(s)}
    if len(able) > 1 or not suspect.spares_last:
        left = [s for s in able if s.endpoint.id not in exchange.tried_ids]
        found |= {state.endpoint.id: state for state in left[:1]}
    return found


def _decodes(state):
    return state.endpoint.stage == domain.DECODE


def _rank(state, part):
    name = state.endpoint.id
    return zlib.crc32(f"{part} {name}".encode()), name
