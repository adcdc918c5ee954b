"""What the command line does with the log and the instances.

Queries read the control stream and ask instances; commands append changes
and wait until they are read back, so that a lost answer is never taken for
a lost change and never makes a second one.
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

READ_BACK_MS = 10_000
POLL_MS = 200
ASK_MS = 2_000
SEEN_MS = 3_000
RETRIES = 5


class Difference(typing.NamedTuple):
    """A key that differs; ``None`` stands for absent."""

    key: str
    in_force: typing.Any
    wanted: typing.Any


class Session:
    """The connections of one command."""

    def __init__(self, settings):
        """Take the operator's settings whole."""
        self.settings = settings
        self.clock = clock.Clock()
        self._log = client.LogClient(settings)
        self._http = _http.client(ASK_MS)
        self._token = settings.security.control_token

    async def read_state(self):
        """Return the fold of the control stream up to its present end.

        :raises LogUnavailable: neither the log nor an instance has it.
        """
        state = control.State()
        try:
            await self._read_on(state)
        except errors.LogUnavailable as exc:
            return await self._from_instances(exc)
        if not state.known:
            relayed = await self._from_instances(None)
            if relayed is not None:
                state.adopt(relayed.dump(), relayed.next - 1)
                await self._read_on(state)
        return state

    async def submit(self, expects, sets):
        """Append a change and return its outcome as read back.

        :raises Conflict: another change came first.
        :raises AppendUnknown: it could not be read back in time.
        """
        record = control.Change(
            secrets.token_hex(8), self.settings.author, expects, sets
        )
        state = await self.read_state()
        if not state.known:
            raise errors.LogUnavailable(
                "no state of the control stream is to be had"
            )
        try:
            await self._log.append(control.STREAM, record)
        except errors.AppendUnknown:
            pass
        outcome = await self._read_back(state, record.id)
        if not outcome.valid:
            raise errors.Conflict(
                f"the change at {outcome.offset} is void: {outcome.reason}"
            )
        await self._wait_seen(outcome.offset)
        return outcome

    async def _wait_seen(self, version):
        """Wait until some instance has read the change, but not for long.

        A log that goes down before any instance read the change would keep
        it from all of them until it is back.  Once one has it, the others
        get it from there.
        """
        end = self.clock.now() + SEEN_MS
        while self.settings.instances and self.clock.now() < end:
            for address in self.settings.instances:
                try:
                    status = await self._ask(address, "/control/status")
                except errors.Unauthorized:
                    # The change is made; a wrong token shows in 'status'.
                    return
                if status is not None and status["version"] >= version:
                    return
            await anyio.sleep(clock.seconds(POLL_MS) / 4)

    async def publish(self, document):
        """Publish a whole document over what is in force.

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

        A race with another change of the same endpoint is tried again on
        what is then in force: the edit names members, not the whole.

        :raises Conflict: the race was lost several times.
        """
        key = f"endpoint/{endpoint_id}"
        for attempt in range(RETRIES):
            state = await self.read_state()
            if key not in state.data_by_key:
                known = ", ".join(state.view.endpoints_by_id) or "none"
                raise errors.BadRequest(
                    f"no endpoint {endpoint_id!r}; there are: {known}"
                )
            data = {**state.data_by_key[key], **members}
            _, mistakes = configuration.read_value(key, data)
            if mistakes:
                raise errors.SettingsError(str(mistakes[0]))
            expects = {key: state.offset_by_key[key]}
            try:
                return await self.submit(expects, {key: data})
            except errors.Conflict:
                if attempt == RETRIES - 1:
                    raise
        raise AssertionError("the loop returns or raises")

    async def publish_initial(self, document):
        """Write a first state after the log lost everything.

        :raises Conflict: somebody still knows the state.
        """
        state = await self.read_state()
        if state.known:
            raise errors.Conflict(
                f"a state is known up to {state.next - 1}; publish over it"
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
        """Return the status of every process that can be found."""
        waiting = list(self.settings.instances)
        asked = set()
        status_by_id = {}
        while waiting:
            address = waiting.pop()
            if address in asked:
                continue
            asked.add(address)
            status = await self._ask(address, "/control/status")
            if status is None:
                continue
            status_by_id[status["id"]] = status
            for row in status["members"]:
                if row["alive"]:
                    waiting.append(row["control"])
        return status_by_id

    async def wait_active(self, version, timeout_ms):
        """Return the ids of live processes still behind ``version``."""
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
            await anyio.sleep(clock.seconds(POLL_MS))

    async def explain(self, about):
        """Return the recent decisions about a request or endpoint."""
        lines = []
        for name, status in (await self.statuses()).items():
            own = [r for r in status["members"] if r["id"] == name]
            answer = await self._ask(
                own[0]["control"], "/control/explain", about=about
            )
            for line in (answer or {}).get("lines", []):
                lines.append({"by": name, **line})
        return lines

    async def _read_on(self, state):
        while True:
            batch = await self._log.read(control.STREAM, state.next)
            state.begin(batch.first)
            for offset, record in batch.records:
                state.apply(offset, record)
            if len(batch.records) < client.MAX_READ_RECORDS:
                return

    async def _read_back(self, state, record_id):
        end = self.clock.now() + READ_BACK_MS
        while self.clock.now() < end:
            try:
                await self._read_on(state)
            except errors.LogUnavailable:
                pass
            if record_id in state.outcome_by_id:
                return state.outcome_by_id[record_id]
            await anyio.sleep(clock.seconds(POLL_MS))
        raise errors.AppendUnknown(
            f"the change {record_id} was not read back; run 'show' before "
            "you try again"
        )

    async def _from_instances(self, error):
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

    async def _ask(self, address, path, **query):
        try:
            answer = await self._http.get(
                f"http://{address}{path}",
                params=query,
                headers={"Authorization": f"Bearer {self._token}"},
            )
        except httpx.HTTPError:
            return None
        if answer.status_code == 401:
            raise errors.Unauthorized(f"{address} refused the token")
        if answer.status_code != 200:
            return None
        return answer.json()


def compare(state, document):
    """Return how an operator's document differs from what is in force."""
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
