"""Tags that authenticate a context as made by a holder of the fleet's key."""

from hashlib import blake2b
from hmac import compare_digest
from typing import Final

from lovageshunt.calls._context import CallContext
from lovageshunt.errors import ContextKeyError

#: 96 bits are enough, since each guess takes one call to a node.
_TAG_BYTES: Final = 12
_PERSONALIZATION: Final = b'lovageshunt-ctx'
_MIN_KEY_BYTES: Final = 16


class ContextKey:
    """A secret shared by the nodes and embedding programs of a fleet.

    ``secret`` has 16 to 64 bytes after surrounding whitespace is stripped;
    otherwise ``ContextKeyError`` is raised. It never appears in a ``repr``
    or in a log.
    """

    __slots__ = ('_keyed_hash',)

    def __init__(self, secret: bytes) -> None:
        stripped = secret.strip()
        if not _MIN_KEY_BYTES <= len(stripped) <= blake2b.MAX_KEY_SIZE:
            raise ContextKeyError(len(stripped))
        self._keyed_hash = blake2b(
            key=stripped,
            digest_size=_TAG_BYTES,
            person=_PERSONALIZATION,
        )

    def __repr__(self) -> str:
        """Omit the secret."""
        return 'ContextKey(...)'

    def tag(self, context: CallContext) -> str:
        """Return the tag of a context's ids, importance, rank and retries."""
        tag_hash = self._keyed_hash.copy()
        # The length makes the end of the first id unambiguous, as ids may
        # contain any characters.
        tag_hash.update(
            f'{context.request_id}\n{context.call_id}\n'
            f'{context.importance} {context.rank} {context.retries_left} '
            f'{len(context.request_id)}'.encode(),
        )
        return tag_hash.hexdigest()

    def verify(self, tag: str, context: CallContext) -> bool:
        """Return whether a tag is valid, compared in constant time."""
        return compare_digest(tag.encode(), self.tag(context).encode())
