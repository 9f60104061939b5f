"""Tags that show that a context was made by a holder of the fleet's key."""

from hashlib import blake2b
from hmac import compare_digest
from typing import Final

from lovageshunt.calls._context import CallContext
from lovageshunt.errors import ContextKeyError

#: 96 bits: a forger would have to guess each tag at a node, one by one.
_TAG_BYTES: Final = 12
_PERSON: Final = b'lovageshunt-ctx'
_LEAST_KEY_BYTES: Final = 16


class ContextKey:
    """A secret that nodes and embedding programs of one fleet share.

    It never shows in a ``repr`` or in a log.
    """

    __slots__ = ('_keyed',)

    def __init__(self, secret: bytes) -> None:
        """Take 16 to 64 bytes; blanks around them are dropped.

        Raises ``ContextKeyError``.
        """
        stripped = secret.strip()
        if not _LEAST_KEY_BYTES <= len(stripped) <= blake2b.MAX_KEY_SIZE:
            raise ContextKeyError(len(stripped))
        self._keyed = blake2b(
            key=stripped,
            digest_size=_TAG_BYTES,
            person=_PERSON,
        )

    def __repr__(self) -> str:
        """Show that there is a key, not which."""
        return 'ContextKey(...)'

    def tag(self, context: CallContext) -> str:
        """Return the tag of what decides over importance and retries."""
        keyed = self._keyed.copy()
        # The length tells where the first id ends, whatever signs it holds.
        keyed.update(
            f'{context.request_id}\n{context.call_id}\n'
            f'{context.importance} {context.rank} {context.retries_left} '
            f'{len(context.request_id)}'.encode(),
        )
        return keyed.hexdigest()

    def has_made(self, tag: str, context: CallContext) -> bool:
        """Say in constant time whether a tag is that of a context."""
        return compare_digest(tag.encode(), self.tag(context).encode())
