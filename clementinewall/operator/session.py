"""Access of the command line to the log and to the instances.

Queries read the control stream and query instances.  Commands append changes
and wait until these are read back, so that a lost answer is not taken for a
lost change and does not lead to a second one.
"""

import secrets
import typing

import anyio
import httpx

from clementinewall import _http
from clementinewall import clock
from clementinewall import errors
from clementinewall.log import client
from clementinewall.records import configuration
from clementinewall.records import control

READ_BACK_TIMEOUT_MS = 10_000
POLL_INTERVAL_MS = 200
QUERY_TIMEOUT_MS = 2_000
PROPAGATION_TIMEOUT_MS = 3_000
MAX_ATTEMPTS = 5


class Difference(typing.NamedTuple):
    """A key whose value differs; ``None`` means that it is absent."""

    key: str
    in_force: typing.Any
    wanted: typing.Any


class Session:
    """The connections of one run of the command line."""

    def __init__(self, settings):
        """Take the operator's settings."""
        self.settings = settings
        self.clock = clock.Clock()
        self._log = client.LogClient(settings)
        self._http = _http.client(QUERY_TIMEOUT_MS)
        self._token = settings.security.control_token

    async def read_state(self):
        """Return the state of the control stream up to its present end.

        :raises LogUnavailable: neither the log nor an instance has it.
        """
        state = control.State()
        try:
            await self._read_to_end(state)
        except errors.LogUnavailable as exc:
            return await self._read_from_instances(exc)
        if not state.known:
            relayed = await self._read_from_instances(None)
            if relayed is not None:
                state.adopt(relayed.dump(), relayed.next - 1)
                await self._read_to_end(state)
        return state

    async def submit(self, expects, sets):
        """Append a change and return its outcome as read back.

        :raises Conflict: another change was applied first.
        :raises AppendUnknown: it could not be read back in time.
        """
        record = control.Change(
            secrets.token_hex(8), self.settings.author, expects, sets
        )
        state = await self.read_state()
        if not state.known:
            raise errors.LogUnavailable(
                "neither the log nor an instance has a state"
            )
        try:
            await self._log.append(control.STREAM, record)
        except errors.AppendUnknown:
            pass
        outcome = await self._read_back(state, record.id)
        if not outcome.valid:
            raise errors.Conflict(
                f"the change at offset {outcome.offset} was rejected: "
                f"{outcome.reason}"
            )
        await self._wait_propagated(outcome.offset)
        return outcome

    async def _wait_propagated(self, version):
        """Wait up to ``PROPAGATION_TIMEOUT_MS`` until an instance has read it.

        If the log failed before any instance had read the change, no instance
        would get it until the log is back.  Once one has read it, the others
        receive it from that one.
        """
        end = self.clock.now() + PROPAGATION_TIMEOUT_MS
        while self.settings.instances and self.clock.now() < end:
            for address in self.settings.instances:
                try:
                    status = await self._query(address, "/control/status")
                except errors.Unauthorized:
                    # The change is made; 'status' reports the wrong token.
                    return
                if status is not None and status["version"] >= version:
                    return
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS) / 4)

    async def publish(self, document):
        """Replace the active configuration by a whole document.

        Returns ``(outcome, differences)``; without differences nothing is
        sent and the outcome is ``None``.
        """
        state = await self.read_state()
        differences = compare(state, document)
        if not differences:
            return None, ()
        expects = {
            d.key: state.offset_by_key.get(d.key, control.NO_OFFSET)
            for d in differences
        }
        sets = {d.key: d.wanted for d in differences}
        return await self.submit(expects, sets), differences

    async def edit_endpoint(self, endpoint_id, **members):
        """Change members of one endpoint and return the outcome.

        After a conflict with another change of the same endpoint, the edit is
        tried again on the value then active: it sets only these members.

        :raises Conflict: each of ``MAX_ATTEMPTS`` attempts had a conflict.
        """
        key = f"endpoint/{endpoint_id}"
        for attempt in range(MAX_ATTEMPTS):
            state = await self.read_state()
            if key not in state.data_by_key:
                known = ", ".join(state.view.endpoints_by_id) or "none"
                raise errors.BadRequest(
                    f"no endpoint {endpoint_id!r}; known endpoints: {known}"
                )
            data = {**state.data_by_key[key], **members}
            _, mistakes = configuration.read_value(key, data)
            if mistakes:
                raise errors.SettingsError(str(mistakes[0]))
            expects = {key: state.offset_by_key[key]}
            try:
                return await self.submit(expects, {key: data})
            except errors.Conflict:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
        raise AssertionError("the loop returns or raises")

    async def publish_initial(self, document):
        """Write a first state after the log lost every record.

        :raises Conflict: the log or an instance still has a state.
        """
        state = await self.read_state()
        if state.known:
            raise errors.Conflict(
                f"a state up to offset {state.next - 1} exists; publish "
                "without --anew"
            )
        batch = await self._log.read(control.STREAM, 0)
        as_of = max(batch.first, batch.next, state.next) - 1
        fresh = {
            "version": as_of,
            "data_by_key": configuration.flatten(document),
            "offset_by_key": {},
            "held_by_scope": {},
        }
        fresh["offset_by_key"] = dict.fromkeys(fresh["data_by_key"], as_of)
        record = control.Snapshot(secrets.token_hex(8), as_of, fresh)
        return await self._log.append(control.STREAM, record)

    async def statuses(self):
        """Return the status of every reachable process, by its id."""
        unvisited = list(self.settings.instances)
        visited = set()
        status_by_id = {}
        while unvisited:
            address = unvisited.pop()
            if address in visited:
                continue
            visited.add(address)
            status = await self._query(address, "/control/status")
            if status is None:
                continue
            status_by_id[status["id"]] = status
            for row in status["members"]:
                if row["alive"]:
                    unvisited.append(row["control"])
        return status_by_id

    async def wait_active(self, version, timeout_ms):
        """Wait until all live processes have reached ``version``.

        Return the ids of those that had not after ``timeout_ms``.
        """
        end = self.clock.now() + timeout_ms
        while True:
            status_by_id = await self.statuses()
            behind = sorted(
                name
                for name, status in status_by_id.items()
                if status["version"] < version
            )
            if status_by_id and not behind:
                return []
            if self.clock.now() >= end:
                return behind or ["(no instance answered)"]
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))

    async def explain(self, about):
        """Return the recent decisions about a request or endpoint."""
        lines = []
        for name, status in (await self.statuses()).items():
            own = [r for r in status["members"] if r["id"] == name]
            answer = await self._query(
                own[0]["control"], "/control/explain", about=about
            )
            for line in (answer or {}).get("lines", []):
                lines.append({"by": name, **line})
        return lines

    async def _read_to_end(self, state):
        while True:
            batch = await self._log.read(control.STREAM, state.next)
            state.begin(batch.first)
            for offset, record in batch.records:
                state.apply(offset, record)
            if len(batch.records) < client.MAX_READ_RECORDS:
                return

    async def _read_back(self, state, record_id):
        end = self.clock.now() + READ_BACK_TIMEOUT_MS
        while self.clock.now() < end:
            try:
                await self._read_to_end(state)
            except errors.LogUnavailable:
                pass
            if record_id in state.outcome_by_id:
                return state.outcome_by_id[record_id]
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))
        raise errors.AppendUnknown(
            f"the change {record_id} was not read back within "
            f"{READ_BACK_TIMEOUT_MS} ms and may have been made; run 'show' "
            "before you try again"
        )

    async def _read_from_instances(self, error):
        for address in self.settings.instances:
            state = control.State()
            try:
                batch = await self._log.read(control.STREAM, 0, source=address)
            except errors.ClementinewallError:
                continue
            if batch.snapshot is not None:
                state.adopt(batch.snapshot.state, batch.snapshot.as_of)
            else:
                state.begin(batch.first)
            for offset, record in batch.records:
                state.apply(offset, record)
            if state.known:
                return state
        if error is not None:
            raise error
        return None

    async def _query(self, address, path, **query):
        try:
            answer = await self._http.get(
                f"http://{address}{path}",
                params=query,
                headers={"Authorization": f"Bearer {self._token}"},
            )
        except httpx.HTTPError:
            return None
        if answer.status_code == 401:
            raise errors.Unauthorized(f"{address} refused the control token")
        if answer.status_code != 200:
            return None
        return answer.json()


def compare(state, document):
    """Return how a document differs from the active configuration."""
    wanted = configuration.flatten(document)
    in_force = {
        key: data
        for key, data in state.data_by_key.items()
        if key.partition("/")[0] in configuration.PUBLISHED_PREFIXES
    }
    return tuple(
        Difference(key, in_force.get(key), wanted.get(key))
        for key in sorted(set(wanted) | set(in_force))
        if in_force.get(key) != wanted.get(key)
    )
