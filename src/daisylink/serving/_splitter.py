"""Divides a split route's requests among its services by weight."""

from daisylink.version import RouteEntry, RouteTarget


class Splitter:
    """Smooth weighted round robin, for each route on its own.

    Each pick adds every target's weight to its credit, takes the target with the most
    credit and charges it the sum of the weights. So the shares are exact over as many
    picks as the weights add up to, whatever the targets turn away.
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
