"""Settings of the operators' listener."""

import attrs

from lentilhaven.core.ranges import not_empty, within
from lentilhaven.core.tls import TlsSettings


@attrs.frozen
class OperatorSettings:
    """
    The listener that only operators use.

    Attributes
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    token_hashes_file : str
        File with the hashes of the operators' tokens, one a line, as
        ``lentilhaven keys`` prints them; empty refuses everybody.
    tls : TlsSettings
        Certificate of this listener.
    """

    host: str = attrs.field(default="127.0.0.1", validator=not_empty)
    port: int = attrs.field(default=7401, validator=within(0, 65535))
    token_hashes_file: str = ""
    tls: TlsSettings = attrs.field(factory=TlsSettings)
