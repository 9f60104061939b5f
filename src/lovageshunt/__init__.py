"""Overload control for call graphs of services.

The decisions (``rules``, ``membership``, ``routing``, ``admission``,
``retries``, ``idempotency``, ``account``) are pure: they take the time, a
random source and an event, and return typed actions. The daemon in ``node``
and the library in ``client`` turn sockets and timers into those events.
"""

__version__ = '0.1.0'

__all__ = ['__version__']
