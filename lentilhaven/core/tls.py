"""TLS by settings."""

import ssl
from pathlib import Path

import attrs


@attrs.frozen
class TlsSettings:
    """
    Files of a certificate; both empty for plain HTTP.

    Attributes
    ----------
    certificate_file : str
        PEM file with the certificate and its chain.
    key_file : str
        PEM file with the private key.
    """

    certificate_file: str = ""
    key_file: str = ""

    def __attrs_post_init__(self) -> None:
        """Refuse one file without the other."""
        if bool(self.certificate_file) != bool(self.key_file):
            raise ValueError("certificate_file and key_file go together")


def server_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """
    Return the context of a listener, or None for plain HTTP.

    Parameters
    ----------
    tls : TlsSettings
        The files.

    Raises
    ------
    OSError
        If a file can't be read or is not PEM (`ssl.SSLError` is one).
    """
    if not tls.certificate_file:
        return None
    for name in (tls.certificate_file, tls.key_file):
        Path(name).read_bytes()
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def client_context(ca_file: str) -> ssl.SSLContext:
    """
    Return the context of a client that verifies its peers.

    Parameters
    ----------
    ca_file : str
        PEM file of trusted authorities; empty for those of the system.

    Raises
    ------
    OSError
        If the file can't be read or is not PEM.
    """
    if ca_file:
        Path(ca_file).read_bytes()
    context = ssl.create_default_context(cafile=ca_file or None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
