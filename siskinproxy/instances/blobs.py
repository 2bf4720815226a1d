"""Blobs that an instance serves to its peers, and blobs in transfer.

Successive heads differ in a few hundred bytes of about seven kilobytes. A
head is therefore compressed with an earlier head as the dictionary, if the
receiver has one that the sender remembers.
"""

import zlib
from collections.abc import Mapping
from typing import Final, NamedTuple

__all__ = ('MAX_BLOB_BYTES', 'BlobShelf', 'PartialBlob', 'TransferForm')

#: Largest value in the store.
MAX_BLOB_BYTES: Final = 1_000_000

#: Earlier heads that serve as dictionaries; one change every 66 s at the
#: target size makes this 8 minutes.
REMEMBERED_HEADS: Final = 8

_COMPRESSION_LEVEL: Final = 6


class TransferForm(NamedTuple):
    """Bytes to transfer for a blob.

    Parameters
    ----------
    base : bytes
        Digest of the dictionary; empty if `data` is the blob itself.
    data : bytes
        The bytes.
    """

    base: bytes
    data: bytes


class BlobShelf:
    """Head and sections in force, and the heads before."""

    def __init__(self) -> None:
        self._blobs: dict[bytes, bytes] = {}
        self._heads: dict[bytes, bytes] = {}
        self._forms: dict[tuple[bytes, bytes], TransferForm] = {}
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
        """Serve another configuration.

        Parameters
        ----------
        head_digest : bytes
            Digest of the head.
        head : bytes
            Encoded head.
        sections : mapping of bytes to bytes
            Encoded sections by digest.
        """
        self._head_digest = head_digest
        self._blobs = {**sections, head_digest: head}
        self._heads[head_digest] = head
        while len(self._heads) > REMEMBERED_HEADS:
            self._heads.pop(next(iter(self._heads)))
        self._forms.clear()

    def transfer_form(self, digest: bytes, base: bytes) -> TransferForm | None:
        """Return the bytes to transfer for a blob.

        Parameters
        ----------
        digest : bytes
            Digest of the blob.
        base : bytes
            Digest of a head that the receiver has, or empty.

        Returns
        -------
        TransferForm or None
            None if the blob is not in force here.
        """
        blob = self._blobs.get(digest)
        if blob is None:
            return None
        dictionary = self._heads.get(base)
        if dictionary is None:
            return TransferForm(b'', blob)
        if (digest, base) not in self._forms:
            data = _compress(blob, dictionary)
            self._forms[digest, base] = TransferForm(base, data)
        return self._forms[digest, base]

    def restore(self, form: TransferForm) -> bytes | None:
        """Return the blob of a transfer form, or None if it is malformed."""
        if not form.base:
            return form.data
        dictionary = self._heads.get(form.base)
        if dictionary is None:
            return None
        decompressor = zlib.decompressobj(zdict=dictionary)
        try:
            return decompressor.decompress(form.data, MAX_BLOB_BYTES)
        except zlib.error:
            return None


class PartialBlob:
    """Chunks of a blob in the order of their offsets."""

    __slots__ = ('base', 'data')

    def __init__(self) -> None:
        self.base = b''
        self.data = bytearray()

    def append(self, offset: int, base: bytes, chunk: bytes) -> bool:
        """Add a chunk; return False if it does not continue the others."""
        if not chunk or offset != len(self.data):
            return False
        if offset and base != self.base:
            return False
        self.base = base
        self.data.extend(chunk)
        return len(self.data) <= MAX_BLOB_BYTES

    def form(self) -> TransferForm:
        """Return the transfer form received so far."""
        return TransferForm(self.base, bytes(self.data))


def _compress(blob: bytes, dictionary: bytes) -> bytes:
    compressor = zlib.compressobj(_COMPRESSION_LEVEL, zdict=dictionary)
    return compressor.compress(blob) + compressor.flush()
