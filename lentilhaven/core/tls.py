"""TLS contexts that are configured by settings."""

import ssl
from pathlib import Path

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step


@attrs.frozen
class TlsSettings:
    """
    Files of a server certificate; both are empty for plain HTTP.

    Attributes
    ----------
    certificate_file : str
        PEM file with the certificate and its chain.
    key_file : str
        PEM file with the private key.
    """

    certificate_file: str = ""
    key_file: str = ""


def server_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """
    Return the TLS context of a listener, or None for plain HTTP.

    Parameters
    ----------
    tls : TlsSettings
        The certificate files.

    Raises
    ------
    OSError
        If a file can't be read or is not PEM; `ssl.SSLError` is a subclass.
    """
    if not tls.certificate_file:
        return None
    # Reading the files first gives an error with the file's name, which the errors of
    # `ssl` lack.
    for name in (tls.certificate_file, tls.key_file):
        Path(name).read_bytes()
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def client_context(ca_file: str) -> ssl.SSLContext:
    """
    Return the TLS context of a client that verifies its peers.

    Parameters
    ----------
    ca_file : str
        PEM file of trusted certificate authorities; empty for those of the system.

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


def load_server_context(
    tls: TlsSettings, setting: str
) -> Result[ssl.SSLContext | None, Failure]:
    """
    Return the TLS context of a listener, or a failure that names the setting.

    Parameters
    ----------
    tls : TlsSettings
        The certificate files.
    setting : str
        Path of the setting, for the error message.
    """
    if bool(tls.certificate_file) != bool(tls.key_file):
        detail = f"{setting}: certificate_file and key_file must be set together"
        return Error(Failure(Step.SETTINGS, "", "bad-certificate", detail))
    try:
        return Ok(server_context(tls))
    except OSError as error:
        return Error(bad_certificate(setting, error))


def load_client_context(ca_file: str, setting: str) -> Result[ssl.SSLContext, Failure]:
    """
    Return the TLS context of a client, or a failure that names the setting.

    Parameters
    ----------
    ca_file : str
        PEM file of trusted certificate authorities; empty for those of the system.
    setting : str
        Path of the setting, for the error message.
    """
    try:
        return Ok(client_context(ca_file))
    except OSError as error:
        return Error(bad_certificate(setting, error))


def bad_certificate(setting: str, error: OSError) -> Failure:
    """Return the failure for certificate files that can't be loaded."""
    name = f" {error.filename!r}" if error.filename else ""
    detail = f"{setting}:{name} can't be loaded: {error.strerror or error}"
    return Failure(Step.SETTINGS, "", "bad-certificate", detail)
