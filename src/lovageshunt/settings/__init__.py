"""Settings files in INI, checked with one error per fault."""

from lovageshunt.settings._fault import SettingsFault
from lovageshunt.settings._keys import (
    ABSENT,
    CLIENT_TABLES,
    NODE_TABLES,
    REQUIRED,
    Key,
    SectionTable,
)
from lovageshunt.settings._kinds import (
    Address,
    ValueKind,
    read_address,
    read_addresses,
)
from lovageshunt.settings._load import load_client_settings, load_node_settings
from lovageshunt.settings._sections import (
    AdmissionSection,
    CallsSection,
    ClientSection,
    ClientSettings,
    LimitsSection,
    ListenSection,
    LogsSection,
    NodeSection,
    NodeSettings,
    NodesSection,
    PlatformSection,
    SecuritySection,
    TargetSection,
    TracesSection,
)

__all__ = [
    'ABSENT',
    'CLIENT_TABLES',
    'NODE_TABLES',
    'REQUIRED',
    'Address',
    'AdmissionSection',
    'CallsSection',
    'ClientSection',
    'ClientSettings',
    'Key',
    'LimitsSection',
    'ListenSection',
    'LogsSection',
    'NodeSection',
    'NodeSettings',
    'NodesSection',
    'PlatformSection',
    'SectionTable',
    'SecuritySection',
    'SettingsFault',
    'TargetSection',
    'TracesSection',
    'ValueKind',
    'load_client_settings',
    'load_node_settings',
    'read_address',
    'read_addresses',
]
