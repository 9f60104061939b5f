"""Loads the token, key and TLS files that the settings name."""

from pathlib import Path
from ssl import SSLContext, SSLError, create_default_context

from lovageshunt.calls import ContextKey
from lovageshunt.errors import ContextKeyError, SecurityFileError
from lovageshunt.node.admin._servers import ServerTls
from lovageshunt.settings import SecuritySection


def read_token(security: SecuritySection) -> str:
    """Return the admin token, or an empty string if no file is configured.

    Raises ``SecurityFileError`` for a file that cannot be read or is empty,
    because an empty token disables authentication.
    """
    if security.admin_token_file is None:
        return ''
    name = security.admin_token_file
    try:
        token = Path(name).read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SecurityFileError('admin_token_file', name, str(error)) from error
    if not token:
        raise SecurityFileError('admin_token_file', name, 'file is empty')
    return token


def read_context_key(security: SecuritySection) -> ContextKey | None:
    """Return the key that signs contexts, or ``None`` if not configured.

    Raises ``SecurityFileError`` for a file that cannot be read or holds no
    valid key.
    """
    if security.context_key_file is None:
        return None
    name = security.context_key_file
    try:
        return ContextKey(Path(name).read_bytes())
    except (OSError, ContextKeyError) as error:
        raise SecurityFileError('context_key_file', name, str(error)) from error


def client_tls(security: SecuritySection) -> SSLContext | None:
    """Return the TLS context for requests to peers, ``None`` without TLS.

    It verifies peers against the authority and presents this node's
    certificate. Raises ``SecurityFileError``.
    """
    if security.authority_file is None or security.certificate_file is None:
        return None
    authority = security.authority_file
    try:
        tls = create_default_context(cafile=authority)
    except (OSError, SSLError) as error:
        raise SecurityFileError(
            'authority_file',
            authority,
            str(error),
        ) from error
    certificate = security.certificate_file
    try:
        tls.load_cert_chain(certificate, security.key_file)
    except (OSError, SSLError) as error:
        raise SecurityFileError(
            'certificate_file',
            certificate,
            str(error),
        ) from error
    return tls


def ingress_tls(security: SecuritySection) -> ServerTls:
    """Return the TLS files of the ingress; callers need no certificate."""
    return ServerTls(
        certificate_file=security.certificate_file or '',
        key_file=security.key_file or '',
    )


def admin_tls(security: SecuritySection) -> ServerTls:
    """Return the TLS files of the admin API, which verifies its clients."""
    return ServerTls(
        certificate_file=security.certificate_file or '',
        key_file=security.key_file or '',
        authority_file=security.authority_file or '',
    )
