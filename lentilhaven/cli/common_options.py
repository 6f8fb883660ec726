"""Options that every command which reaches the system takes."""

from pathlib import Path
from typing import Annotated

import attrs
import cyclopts
from expression import Error, Ok, Result

from lentilhaven.cli.client_settings import ClientSettings
from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import read_document


@attrs.frozen
class CommonOptions:
    """
    Where the system is, and how to print.

    Attributes
    ----------
    settings : Path or None
        File of the client's settings, JSON with comments.
    store : str
        Base URL of the platform's object API; goes before the settings.
    json : bool
        Print JSON for programs.
    """

    settings: Annotated[
        Path | None, cyclopts.Parameter(env_var="LENTILHAVEN_SETTINGS")
    ] = None
    store: str = ""
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False

    def read_settings(self) -> Result[ClientSettings, Failure]:
        """Return the client's settings."""
        settings = ClientSettings()
        if self.settings is not None:
            parsed = read_document(self.settings, ClientSettings)
            if parsed.is_error():
                return Error(parsed.error)
            settings = parsed.ok
        if self.store:
            settings = attrs.evolve(settings, store_url=self.store)
        return Ok(settings)


#: How a command takes the common options.
Common = Annotated[CommonOptions, cyclopts.Parameter(name="*")]

DEFAULTS = CommonOptions()
