"""INI settings files, validated with one report per fault."""

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
    parse_address,
    parse_addresses,
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
from lovageshunt.settings._sidecar import (
    BoundsSection,
    SidecarClientsSection,
    SidecarListenSection,
    SidecarSettings,
    SidecarTargetSection,
    StoreSection,
    load_sidecar_settings,
)
from lovageshunt.settings._sidecar_keys import SIDECAR_TABLES

__all__ = [
    'ABSENT',
    'CLIENT_TABLES',
    'NODE_TABLES',
    'REQUIRED',
    'SIDECAR_TABLES',
    'Address',
    'AdmissionSection',
    'BoundsSection',
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
    'SidecarClientsSection',
    'SidecarListenSection',
    'SidecarSettings',
    'SidecarTargetSection',
    'StoreSection',
    'TargetSection',
    'TracesSection',
    'ValueKind',
    'load_client_settings',
    'load_node_settings',
    'load_sidecar_settings',
    'parse_address',
    'parse_addresses',
]
