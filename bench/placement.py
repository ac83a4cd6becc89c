"""Measures the placement of bursts of new connections.

Prints the share of OPEN packets that agents passed on and the imbalance
between agents. Runs the production placement, loads and tables in simulated
time; reports are exchanged as often as between real agents. Run from the root
of the repository::

    PYTHONPATH=tests python bench/placement.py
"""

import statistics

import placement_simulation

# Number of agents, number of connections, duration of the burst in ms.
BURSTS = (
    (3, 60, 300),
    (3, 60, 2_000),
    (7, 14_000, 1_000),
    (7, 14_000, 3_000),
    (7, 14_000, 10_000),
)
SEED_COUNT = 20


def main():
    """Print one line per burst."""
    for agents, count, duration_ms in BURSTS:
        results = [
            placement_simulation.PlacementSimulation(agents, seed).open_burst(
                count, duration_ms
            )
            for seed in range(SEED_COUNT)
        ]
        passed_on = [r.passed_on_percent for r in results]
        imbalance = [r.imbalance for r in results]
        print(
            f'agents={agents} connections={count} within_ms={duration_ms} '
            f'passed_on_percent={statistics.mean(passed_on):.1f} '
            f'(max {max(passed_on):.1f}) '
            f'imbalance={statistics.mean(imbalance):.3f} '
            f'(max {max(imbalance):.3f})'
        )


if __name__ == '__main__':
    main()
