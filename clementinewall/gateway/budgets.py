"""The retry budgets of all services at this gateway."""

from clementinewall.gateway import retries


class Budgets:
    """Finds the budget of a service."""

    def __init__(self, settings, peers, now):
        """Share the slack with the live peers."""
        self._settings = settings
        self._peers = peers
        self._now = now
        self._by_service = {}
        self._most = 1

    def _budget(self, service):
        budget = self._by_service.get(service.name)
        if budget is None:
            budget = retries.Budget(self._settings.bounds, self._now)
            self._by_service[service.name] = budget
        return budget

    def count_request(self, service):
        """Count a request of a caller for a service."""
        self._budget(service).count_request()

    def spend(self, service, sends=1):
        """Take further sends; return whether so many were left."""
        # A gateway that isn't heard may be cut off and still send.
        self._most = max(self._most, 1 + len(self._peers.table.live()))
        return self._budget(service).spend(self._most, sends)
