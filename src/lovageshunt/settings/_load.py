"""Loads the settings of a node or a caller from an INI file."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from lovageshunt.settings._fault import SettingsFault
from lovageshunt.settings._keys import CLIENT_TABLES, NODE_TABLES
from lovageshunt.settings._kinds import Address
from lovageshunt.settings._reader import SettingsReader
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


def load_node_settings(
    path: Path | str,
) -> Result[NodeSettings, list[SettingsFault]]:
    """Return a node's settings, or every fault of the file."""
    reader = SettingsReader(Path(path))
    by_section = reader.read(NODE_TABLES)
    if by_section:
        _check_admin(reader, by_section)
        _check_tls(reader, by_section['security'])
        _check_distinct_addresses(reader, by_section)
        _check_egress(reader, by_section['listen'])
    if reader.faults:
        return Error(reader.faults)
    return Ok(
        NodeSettings(
            node=NodeSection(**by_section['node']),
            listen=ListenSection(**by_section['listen']),
            target=TargetSection(**by_section['target']),
            platform=PlatformSection(**by_section['platform']),
            calls=CallsSection(**by_section['calls']),
            admission=AdmissionSection(**by_section['admission']),
            security=SecuritySection(**by_section['security']),
            traces=TracesSection(**by_section['traces']),
            logs=LogsSection(**by_section['logs']),
            limits=LimitsSection(**by_section['limits']),
        ),
    )


def load_client_settings(
    path: Path | str,
) -> Result[ClientSettings, list[SettingsFault]]:
    """Return a caller's settings, or every fault of the file."""
    reader = SettingsReader(Path(path))
    by_section = reader.read(CLIENT_TABLES)
    if reader.faults:
        return Error(reader.faults)
    return Ok(
        ClientSettings(
            client=ClientSection(**by_section['client']),
            nodes=NodesSection(**by_section['nodes']),
        ),
    )


def _check_admin(
    reader: SettingsReader,
    by_section: dict[str, dict[str, Any]],
) -> None:
    admin = by_section['listen']['admin']
    if admin is None or admin.is_loopback:
        return
    if by_section['security']['admin_token_file'] is None:
        reader.add_fault(
            section='listen',
            key='admin',
            value=str(admin),
            expected='a loopback address when there is no admin token',
            remedy='set [security] admin_token_file, or listen on 127.0.0.1',
        )


def _check_egress(reader: SettingsReader, listen: dict[str, Any]) -> None:
    egress = listen['egress']
    if egress is None or egress.is_loopback:
        return
    reader.add_fault(
        section='listen',
        key='egress',
        value=str(egress),
        expected='a loopback address, because only the local target uses it',
        remedy='listen on 127.0.0.1',
    )


def _check_tls(reader: SettingsReader, security: dict[str, Any]) -> None:
    names = ('certificate_file', 'key_file', 'authority_file')
    given = [name for name in names if security[name] is not None]
    if len(given) in {0, len(names)}:
        return
    reader.add_fault(
        section='security',
        key=given[0],
        value=security[given[0]],
        expected='certificate_file, key_file and authority_file, or none',
        remedy='add the others, or remove this one',
    )


def _check_distinct_addresses(
    reader: SettingsReader,
    by_section: dict[str, dict[str, Any]],
) -> None:
    key_by_address: dict[str, str] = {}
    addresses: dict[str, Address | None] = {
        'target.address': by_section['target']['address'],
        **by_section['listen'],
    }
    for key, address in addresses.items():
        if address is None:
            continue
        other = key_by_address.setdefault(str(address), key)
        if other != key:
            reader.add_fault(
                section='listen',
                key=key,
                value=str(address),
                expected=f'an address that differs from that of {other}',
                remedy='give each its own port',
            )
