"""The retry budgets of all services at this gateway."""

from clementinewall.gateway import retry_budget
from clementinewall import metrics


class Budgets:
    """Finds the budget of a service."""

    def __init__(self, settings, peers, now):
        """Share the fixed number with the instances that peers know."""
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
        """Tell whether further sends could be taken now."""
        return self._budget(service).can_spend(self._share(), sends)

    def spend(self, service, sends, why):
        """Take further sends for a reason; return whether they were left."""
        is_granted = self._budget(service).spend(self._share(), sends)
        metrics.count(
            "retries" if is_granted else "retries_refused",
            sends,
            service=service.name,
            why=why,
        )
        return is_granted

    def refund(self, service, sends):
        """Return sends that were taken last and reached nobody."""
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
        """Return how many instances share the fixed number, if known.

        One that isn't heard may be cut off and still send, so all count that
        ever registered.
        """
        table = self._peers.table
        if not table.is_whole:
            return None
        self._max_gateways = max(self._max_gateways, 1 + len(table.ips))
        return self._max_gateways
