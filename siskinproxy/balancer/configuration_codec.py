"""Decoding of stored configurations, and the reader of a local one.

The store holds a configuration as encoded sections and a head, the commit
record of a region, which names the sections by digest. An instance without a
store reads its configuration from a JSON file instead, which is brought into
the same form.
"""

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
    assemble_configuration,
    decode_head,
    encode_head,
)
from siskinproxy.store.sections import (
    EMPTY_DIGEST,
    digest_of,
    encode_sections,
)

__all__ = ('FileConfiguration', 'codec_of_region', 'read_configuration_file')

_SETTINGS_KEY: Final = 'control.configuration_file'

#: `KeyValue` version for heads received without one; any version above 0 marks
#: a value that exists.
_EXISTING_VERSION: Final = 1


class FileConfiguration(msgspec.Struct, frozen=True):
    """Configuration from a file in the form that the store would hold.

    Parameters
    ----------
    generation : int
        Generation of the configuration.
    head : bytes
        Encoded head.
    sections : dict of bytes to bytes
        Encoded sections by digest; empty ones are left out.
    """

    generation: int
    head: bytes
    sections: dict[bytes, bytes]


def codec_of_region(region: str) -> ConfigurationCodec:
    """Return the functions that decode the configuration of a region.

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
        partial(_section_digests, region),
        partial(_assemble_head, region),
    )


def _section_digests(region: str, head: bytes) -> Iterable[bytes]:
    digests = decode_head(region, KeyValue(head, _EXISTING_VERSION)).digests
    return [digest for digest in digests if digest != EMPTY_DIGEST]


def _assemble_head(
    region: str,
    head: bytes,
    sections: Mapping[bytes, bytes],
) -> tuple[int, Configuration]:
    decoded = decode_head(region, KeyValue(head, _EXISTING_VERSION))
    return decoded.generation, assemble_configuration(decoded, sections)


def read_configuration_file(
    path: str,
    region: str,
    above_generation: int,
) -> FileConfiguration:
    """Read the configuration of an instance without a store.

    The generation is the Unix time in seconds, so that it also grows when the
    control process restarts.

    Parameters
    ----------
    path : str
        JSON file.
    region : str
        Region of the instance, which the file has to name.
    above_generation : int
        Generation in force, which the new one has to exceed.

    Returns
    -------
    FileConfiguration
        Configuration with its generation.

    Raises
    ------
    SettingsError
        If the file cannot be read, is no JSON configuration, belongs to
        another region or is invalid.
    """
    cfg = _decode_file(path)
    if cfg.region != region:
        raise SettingsError(path, 'region', region, cfg.region)
    errors = validate(cfg)
    if errors:
        found = '; '.join(map(str, errors))
        raise SettingsError(path, _SETTINGS_KEY, 'valid configuration', found)
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


def _decode_file(path: str) -> Configuration:
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Configuration)
    except OSError as exc:
        found = exc.strerror or type(exc).__name__
        raise SettingsError(
            path, _SETTINGS_KEY, 'readable file', found
        ) from exc
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise SettingsError(
            path,
            _SETTINGS_KEY,
            'JSON configuration',
            str(exc),
        ) from exc
