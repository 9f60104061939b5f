"""Concurrency limit, priorities, queue and load shedding for one target."""

from lovageshunt.admission._admission import Admission
from lovageshunt.admission._caller import CallerThresholds
from lovageshunt.admission._events import (
    Abort,
    Action,
    AdmissionTicked,
    Admit,
    Arrived,
    Cancelled,
    DrainStarted,
    Event,
    Finished,
    LoadReported,
    RateLimitReported,
    Refuse,
    TargetLeft,
)
from lovageshunt.admission._levels import OPEN_THRESHOLD, is_refused
from lovageshunt.admission._pace import TargetPace
from lovageshunt.admission._settings import AdmissionSettings, CallerSettings
from lovageshunt.admission._target_queue import TargetQueue

__all__ = [
    'OPEN_THRESHOLD',
    'Abort',
    'Action',
    'Admission',
    'AdmissionSettings',
    'AdmissionTicked',
    'Admit',
    'Arrived',
    'CallerSettings',
    'CallerThresholds',
    'Cancelled',
    'DrainStarted',
    'Event',
    'Finished',
    'LoadReported',
    'RateLimitReported',
    'Refuse',
    'TargetLeft',
    'TargetPace',
    'TargetQueue',
    'is_refused',
]
