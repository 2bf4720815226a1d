from siskinproxy.measure.config_sizes import measure_readers, measure_sizes


def test_sizes_of_a_small_region():
    """Guards against figures from changes that the store rejected.

    It also fails if the script assigns calls or sizes to the wrong change.
    """
    sizes = measure_sizes(10)
    assert sizes.services == 3
    assert sizes.total_bytes < sizes.json_bytes
    assert 0 < sizes.changed_bytes <= sizes.section_max_bytes
    # Read the head, write a section and the audit entry of the previous
    # change, write the head, write the audit entry.
    assert sizes.calls == 5
    assert sizes.calls_cold == 5 + sizes.sections
    assert sizes.calls_lost_answer == 6
    assert measure_sizes(10) == sizes


def test_reader_calls_of_a_small_region():
    """Guards against call rates of instances without the reader role.

    Two readers in each of three zones renew their leases about once a second.
    """
    assert 5 < measure_readers(2).renewals_s <= 6
