"""Settings of the operators' listener."""

import attrs

from lentilhaven.core.tls import TlsSettings
from lentilhaven.core.validators import not_empty, within


@attrs.frozen
class OperatorSettings:
    """
    Settings of the listener for operators.

    Attributes
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    token_hashes_file : str
        File with the hashes of the operators' tokens, one per line, as
        ``lentilhaven keys`` prints them; if empty, every request is rejected.
    tls : TlsSettings
        Certificate of this listener.
    """

    host: str = attrs.field(default="127.0.0.1", validator=not_empty)
    port: int = attrs.field(default=7401, validator=within(0, 65535))
    token_hashes_file: str = ""
    tls: TlsSettings = attrs.field(factory=TlsSettings)
