from siskinproxy.callers.retry_budget import RetryBudget


def test_permits_the_floor_without_admissions():
    """Guards against a budget of zero at low load.

    A ratio of few admissions rounds down to no retry at all, so a minimum
    rate has to remain.
    """
    budget = RetryBudget(0.1, 3)
    permitted = 0
    while budget.allows(0.5):
        budget.note_retried(0.5)
        permitted += 1
    assert permitted == 3
    assert budget.allows(1.6)


def test_permits_a_share_of_the_admissions_of_the_last_second():
    """Guards against retry storms.

    Overloaded targets refuse flows, and unlimited retries of these flows
    multiply the load on the service. The last second has 99 admissions, so a
    ratio of 0.1 permits 9 retries.
    """
    budget = RetryBudget(0.1, 3)
    for number in range(200):
        budget.note_admitted(number / 100)
    permitted = 0
    while budget.allows(2.0):
        budget.note_retried(2.0)
        permitted += 1
    assert permitted == 9
