from siskinproxy.callers.retry_budget import RetryBudget


def test_permits_the_floor_without_admissions():
    """Guards against retries that stop when load is low."""
    budget = RetryBudget(0.1, 3)
    permitted = 0
    while budget.allows(0.5):
        budget.note_retried(0.5)
        permitted += 1
    assert permitted == 3
    assert budget.allows(1.6)


def test_permits_a_share_of_the_admissions_of_the_last_second():
    """Guards against retries that multiply the load of an overload."""
    budget = RetryBudget(0.1, 3)
    for number in range(200):
        budget.note_admitted(number / 100)
    permitted = 0
    while budget.allows(2.0):
        budget.note_retried(2.0)
        permitted += 1
    assert permitted == 9
