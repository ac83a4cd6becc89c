"""Guards against retries that multiply the load on failing servers."""

from kingcupport.requests import retry_budget


def test_retries_are_a_fraction_of_the_successes():
    budget = retry_budget.RetryBudget(percent=10, reserve=2)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(10):
        assert not budget.spend()
        budget.record_success()
    assert [budget.spend() for _ in range(2)] == [True, False]


def test_successes_add_no_more_than_the_reserve():
    budget = retry_budget.RetryBudget(percent=100, reserve=3)
    for _ in range(100):
        budget.record_success()
    assert [budget.spend() for _ in range(4)] == [True] * 3 + [False]
