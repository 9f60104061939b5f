"""Methods that are chosen by the type of their first argument."""

from collections.abc import Callable
from functools import partial, singledispatch
from typing import Any, Generic, TypeVar

_Returned = TypeVar('_Returned')


class DispatchedMethod(Generic[_Returned]):
    """Like ``functools.singledispatchmethod``, but cheap to call.

    The standard one builds a wrapper with a copied name, docstring and
    annotations at each access, which costs more than most handlers. The
    decorated method handles the types that have no handler of their own.
    """

    __slots__ = ('_dispatcher',)

    def __init__(self, default: Callable[..., _Returned]) -> None:
        self._dispatcher = singledispatch(default)

    def __get__(
        self, instance: Any, owner: type[Any] | None = None
    ) -> Callable[..., _Returned]:
        """Return the method, bound to an instance."""
        return partial(self._call, instance)

    def register(
        self, method: Callable[..., _Returned]
    ) -> Callable[..., _Returned]:
        """Add the handler of the type that its first parameter names."""
        return self._dispatcher.register(method)

    def _call(self, instance: Any, first: Any, *rest: Any) -> _Returned:
        method = self._dispatcher.dispatch(type(first))
        return method(instance, first, *rest)
