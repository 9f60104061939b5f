"""A certificate for loopback, for tests of TLS."""

from datetime import UTC, datetime, timedelta
from ipaddress import ip_address

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

LOOPBACK = x509.IPAddress(ip_address('127.0.0.1'))
NAME = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'node')])


def write_certificate(folder):
    """Write a certificate that vouches for itself; return it and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    today = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(NAME)
        .issuer_name(NAME)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(today - timedelta(days=1))
        .not_valid_after(today + timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([LOOPBACK]), critical=False)
        .sign(key, hashes.SHA256())
    )
    key_path = folder / 'key.pem'
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
    path = folder / 'certificate.pem'
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return path, key_path
