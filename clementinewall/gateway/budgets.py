"""The retry budgets of all services at this gateway."""

from clementinewall.gateway import retry_budget
from clementinewall import metrics


class Budgets:
    """Keeps a retry budget for each service."""

    def __init__(self, settings, peers, now):
        """Share the slack with the instances that ``peers`` knows."""
        self._settings = settings
        self._peers = peers
        self._now = now
        self._started = now()
        self._budget_by_service = {}
        self._max_gateways = 1

    def _budget(self, service):
        budget = self._budget_by_service.get(service.name)
        if budget is None:
            budget = retry_budget.Budget(self._settings.bounds, self._now)
            self._budget_by_service[service.name] = budget
        return budget

    def count_request(self, service):
        """Count a request of a caller for a service."""
        self._budget(service).count_request()

    def can_spend(self, service, sends):
        """Tell whether the budget allows ``sends`` further sends now."""
        return self._budget(service).can_spend(self._share(), sends)

    def spend(self, service, sends, why):
        """Spend ``sends`` if all are allowed; return whether they are.

        ``why`` is the reason, as a metrics label.
        """
        is_granted = self._budget(service).spend(self._share(), sends)
        metrics.count(
            "retries" if is_granted else "retries_refused",
            sends,
            service=service.name,
            why=why,
        )
        return is_granted

    def refund(self, service, sends):
        """Undo the last ``sends``, which reached no endpoint."""
        self._budget(service).refund(sends)
        metrics.count("retries_given_back", sends, service=service.name)

    def _share(self):
        return retry_budget.slack_share(
            self._settings.bounds,
            self._gateway_count(),
            self._now() - self._started,
            self._peers.is_first_process,
        )

    def _gateway_count(self):
        """Return how many instances share the slack, ``None`` if unknown.

        All instances that ever registered count: an unresponsive one may be
        cut off from the peers and still send to endpoints.
        """
        table = self._peers.table
        if not table.is_complete:
            return None
        self._max_gateways = max(self._max_gateways, 1 + len(table.ips))
        return self._max_gateways
