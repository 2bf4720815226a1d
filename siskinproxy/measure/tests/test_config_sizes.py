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
    # One more read of the head shows whether its write took place.
    assert sizes.calls_lost_answer == 6
    assert measure_sizes(10) == sizes


def test_reader_calls_of_a_small_region():
    """Guards against a renewal rate that is not that of six readers.

    Two readers in each of three zones renew their leases about once a second.
    The rate is lower if instances do not get the role or renewals are missed.
    """
    assert 5 < measure_readers(2).renewals_s <= 6
