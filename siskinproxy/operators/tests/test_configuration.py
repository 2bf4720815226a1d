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
    """Guards against silently ignoring misspelled or mistyped entries."""
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(text, type=Configuration)
