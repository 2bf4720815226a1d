from siskinproxy.measure.config_sizes import measure_readers, measure_sizes


def test_sizes_of_a_small_region():
    """Guards against a script whose changes are rejected or misread."""
    sizes = measure_sizes(10)
    assert sizes.services == 3
    assert sizes.total_bytes < sizes.json_bytes
    assert 0 < sizes.changed_bytes <= sizes.section_max_bytes
    # Head, section, audit entry of the previous change, head, audit entry.
    assert sizes.calls == 5
    assert sizes.calls_cold == 5 + sizes.sections
    assert sizes.calls_lost_answer == 6
    assert measure_sizes(10) == sizes


def test_reader_calls_of_a_small_region():
    """Guards against a script that measures readers without a role."""
    assert 5 < measure_readers(2).renewals_s <= 6
