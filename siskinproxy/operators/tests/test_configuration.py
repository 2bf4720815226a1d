import msgspec
import pytest

from siskinproxy.operators import Configuration


@pytest.mark.parametrize(
    'text',
    [
        '{"region": "alfold", "zones": [], "services": [], "colour": 1}',
        '{"region": 7, "zones": [], "services": []}',
    ],
    ids=['unknown-key', 'wrong-type'],
)
def test_rejects_malformed_configuration(text):
    """Guards against ignoring an unknown key or a value of a wrong type."""
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(text, type=Configuration)
