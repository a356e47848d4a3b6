"""Divides the requests of a split route among its services by weight."""

from daisylink.version import RouteEntry, RouteTarget


class Splitter:
    """Smooth weighted round robin for each route.

    Each pick adds every target's weight to its credit, selects the target with the
    highest credit and subtracts the sum of the weights from it. The shares are exact
    over as many picks as the sum of the weights, even if targets refuse requests.
    """

    def __init__(self):
        self.credits: dict[str, dict[str, float]] = {}

    def pick(self, entry: RouteEntry) -> RouteTarget:
        """Return the target of the next request of a route."""
        targets = entry.targets
        if len(targets) == 1:
            return targets[0]
        credits = self.credits.setdefault(entry.route.name, {})
        total = 0.0
        best = targets[0]
        for target in targets:
            name = target.service.name
            credits[name] = credits.get(name, 0.0) + target.weight
            total += target.weight
            if credits[name] > credits.get(best.service.name, 0.0):
                best = target
        credits[best.service.name] -= total
        return best
