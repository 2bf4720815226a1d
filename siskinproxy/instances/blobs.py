"""Configuration blobs that an instance serves to its peers or receives.

A blob is the encoded head of a configuration, which names the sections by
digest, or one encoded section. Successive heads differ in a few hundred bytes
of about seven kilobytes. A head is therefore compressed with an earlier head
as the zlib dictionary, if the receiver has one that the sender retains.
"""

import zlib
from collections.abc import Mapping
from typing import Final, NamedTuple

__all__ = ('MAX_BLOB_BYTES', 'EncodedBlob', 'PartialBlob', 'ServedBlobs')

#: Largest value that the store accepts, and so the largest blob.
MAX_BLOB_BYTES: Final = 1_000_000

#: Heads that are retained as dictionaries, the one in force included. With
#: one change every 66 s at the target size they cover about 8 minutes.
RETAINED_HEADS: Final = 8

_COMPRESSION_LEVEL: Final = 6


class EncodedBlob(NamedTuple):
    """Blob as it is transferred, compressed or not.

    Parameters
    ----------
    base : bytes
        Digest of the head that is the compression dictionary; empty if
        `data` is the blob itself.
    data : bytes
        The compressed or uncompressed blob.
    """

    base: bytes
    data: bytes


class ServedBlobs:
    """Head and sections of the configuration in force, and earlier heads.

    Only the head and sections in force are served; the earlier heads are
    compression dictionaries.
    """

    def __init__(self) -> None:
        self._blobs: dict[bytes, bytes] = {}
        self._retained_heads: dict[bytes, bytes] = {}
        self._encoded_blobs: dict[tuple[bytes, bytes], EncodedBlob] = {}
        self._head_digest = b''

    @property
    def head_digest(self) -> bytes:
        """Digest of the head in force; empty without one."""
        return self._head_digest

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._blobs

    def __getitem__(self, digest: bytes) -> bytes:
        return self._blobs[digest]

    def replace(
        self,
        head_digest: bytes,
        head: bytes,
        sections: Mapping[bytes, bytes],
    ) -> None:
        """Serve another configuration instead of the one in force.

        Parameters
        ----------
        head_digest : bytes
            Digest of the head, which is also retained as a dictionary.
        head : bytes
            Encoded head.
        sections : mapping of bytes to bytes
            Encoded sections by digest.
        """
        self._head_digest = head_digest
        self._blobs = {**sections, head_digest: head}
        self._retained_heads[head_digest] = head
        while len(self._retained_heads) > RETAINED_HEADS:
            self._retained_heads.pop(next(iter(self._retained_heads)))
        self._encoded_blobs.clear()

    def encode_blob(self, digest: bytes, base: bytes) -> EncodedBlob | None:
        """Encode a blob for a peer.

        Parameters
        ----------
        digest : bytes
            Digest of the blob.
        base : bytes
            Digest of a head that the receiver has, or empty.

        Returns
        -------
        EncodedBlob or None
            Compressed against the head `base` if it is retained here,
            otherwise uncompressed; None if the blob is not in force here.
        """
        blob = self._blobs.get(digest)
        if blob is None:
            return None
        dictionary = self._retained_heads.get(base)
        if dictionary is None:
            return EncodedBlob(b'', blob)
        if (digest, base) not in self._encoded_blobs:
            data = _compress(blob, dictionary)
            self._encoded_blobs[digest, base] = EncodedBlob(base, data)
        return self._encoded_blobs[digest, base]

    def decode_blob(self, encoded: EncodedBlob) -> bytes | None:
        """Return the blob, or None if it cannot be decompressed.

        That is the case if the head that it is compressed against is not
        retained here or if the data is malformed. At most `MAX_BLOB_BYTES`
        are decompressed.
        """
        if not encoded.base:
            return encoded.data
        dictionary = self._retained_heads.get(encoded.base)
        if dictionary is None:
            return None
        decompressor = zlib.decompressobj(zdict=dictionary)
        try:
            return decompressor.decompress(encoded.data, MAX_BLOB_BYTES)
        except zlib.error:
            return None


class PartialBlob:
    """Leading part of an encoded blob, assembled from its chunks."""

    __slots__ = ('base', 'data')

    def __init__(self) -> None:
        self.base = b''
        self.data = bytearray()

    def append(self, offset: int, base: bytes, chunk: bytes) -> bool:
        """Add the next chunk.

        Parameters
        ----------
        offset : int
            Byte offset of the chunk in the encoded blob.
        base : bytes
            Digest of the dictionary, the same for all chunks.
        chunk : bytes
            Bytes from `offset` on.

        Returns
        -------
        bool
            False if the chunk is empty, does not start where the previous
            one ended, has another `base` than they, or makes the encoded
            blob larger than `MAX_BLOB_BYTES`.
        """
        if not chunk or offset != len(self.data):
            return False
        if offset and base != self.base:
            return False
        self.base = base
        self.data.extend(chunk)
        return len(self.data) <= MAX_BLOB_BYTES

    def encoded(self) -> EncodedBlob:
        """Return the encoded blob received so far."""
        return EncodedBlob(self.base, bytes(self.data))


def _compress(blob: bytes, dictionary: bytes) -> bytes:
    compressor = zlib.compressobj(_COMPRESSION_LEVEL, zdict=dictionary)
    return compressor.compress(blob) + compressor.flush()
