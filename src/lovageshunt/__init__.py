"""Overload control for call graphs of services.

The decision logic (``rules``, ``membership``, ``routing``, ``admission``,
``retries``, ``idempotency``, ``account``) does no I/O: it is given the time,
a random source and an event, and returns typed actions. The daemon in
``node`` and the library in ``client`` translate socket and timer activity
into those events.
"""

__version__ = '0.1.0'

__all__ = ['__version__']
