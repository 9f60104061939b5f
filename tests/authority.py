"""A certificate authority for loopback addresses, for tests of TLS."""

from datetime import UTC, datetime, timedelta
from ipaddress import ip_address

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from standins.fleet import own_host

#: The hosts of single servers, and of fleets of processes.
LOOPBACK = [
    x509.IPAddress(ip_address(host)) for host in ('127.0.0.1', own_host())
]


class Authority:
    """A certificate authority; ``path`` is the file of its certificate.

    Files are written to ``folder``.
    """

    def __init__(self, folder, name):
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _name(name)
        certificate = (
            _builder(self.name, self.name, self.key)
            .add_extension(x509.BasicConstraints(True, None), critical=True)
            .sign(self.key, hashes.SHA256())
        )
        self.path = _write(folder / f'{name}.pem', certificate)

    def certificate(self, name):
        """Write a loopback certificate; return its path and its key's path."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = (
            _builder(_name(name), self.name, key)
            .add_extension(x509.SubjectAlternativeName(LOOPBACK), False)
            .sign(self.key, hashes.SHA256())
        )
        key_path = self.folder / f'{name}.key'
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        )
        return _write(self.folder / f'{name}.pem', certificate), key_path


def _name(text):
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])


def _builder(subject, issuer, key):
    issued_at = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(issued_at - timedelta(days=1))
        .not_valid_after(issued_at + timedelta(days=1))
    )


def _write(path, certificate):
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return path
