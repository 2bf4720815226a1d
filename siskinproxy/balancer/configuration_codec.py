"""Heads and sections as the control engine needs them."""

import time
from collections.abc import Iterable, Mapping
from functools import partial
from pathlib import Path
from typing import Final

import msgspec

from siskinproxy.balancer.control_engine import ConfigurationCodec
from siskinproxy.errors import SettingsError
from siskinproxy.operators.configuration import Configuration
from siskinproxy.operators.validation import validate
from siskinproxy.store.client import KeyValue
from siskinproxy.store.head import (
    Head,
    assemble,
    decode_head,
    encode_head,
)
from siskinproxy.store.sections import (
    EMPTY_DIGEST,
    digest_of,
    encode_sections,
)

__all__ = ('FileConfiguration', 'codec_of_region', 'read_configuration_file')

_KEY: Final = 'control.configuration_file'

#: Any version above 0 marks a value that exists.
_PRESENT: Final = 1


class FileConfiguration(msgspec.Struct, frozen=True):
    """Configuration from a file in the form that the store would hold."""

    generation: int
    head: bytes
    sections: dict[bytes, bytes]


def codec_of_region(region: str) -> ConfigurationCodec:
    """Return the functions that interpret the configuration of a region.

    Parameters
    ----------
    region : str
        Region that heads have to belong to.

    Returns
    -------
    ConfigurationCodec
        Functions for the control engine.
    """
    return ConfigurationCodec(
        digest_of,
        partial(_sections_of, region),
        partial(_assemble, region),
    )


def _sections_of(region: str, head: bytes) -> Iterable[bytes]:
    digests = decode_head(region, KeyValue(head, _PRESENT)).digests
    return [digest for digest in digests if digest != EMPTY_DIGEST]


def _assemble(
    region: str,
    head: bytes,
    sections: Mapping[bytes, bytes],
) -> tuple[int, Configuration]:
    decoded = decode_head(region, KeyValue(head, _PRESENT))
    return decoded.generation, assemble(decoded, sections)


def read_configuration_file(
    path: str,
    region: str,
    above_generation: int,
) -> FileConfiguration:
    """Read the configuration of a single machine.

    The generation is the time in seconds, so that it also grows over
    restarts of the control process.

    Parameters
    ----------
    path : str
        JSON file.
    region : str
        Region of the instance.
    above_generation : int
        Generation that the new one has to exceed.

    Returns
    -------
    FileConfiguration
        Configuration with its generation.

    Raises
    ------
    SettingsError
        If the file cannot be read or the configuration is invalid.
    """
    cfg = _decode(path)
    if cfg.region != region:
        raise SettingsError(path, 'region', region, cfg.region)
    errors = validate(cfg)
    if errors:
        found = '; '.join(map(str, errors))
        raise SettingsError(path, _KEY, 'valid configuration', found)
    generation = max(int(time.time()), above_generation + 1)
    sections = encode_sections(cfg)
    digests = tuple(section.digest for section in sections)
    return FileConfiguration(
        generation,
        encode_head(Head(region, generation, digests)),
        {
            section.digest: section.encoded
            for section in sections
            if section.digest != EMPTY_DIGEST
        },
    )


def _decode(path: str) -> Configuration:
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Configuration)
    except OSError as exc:
        found = exc.strerror or type(exc).__name__
        raise SettingsError(path, _KEY, 'readable file', found) from exc
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise SettingsError(
            path,
            _KEY,
            'JSON configuration',
            str(exc),
        ) from exc
