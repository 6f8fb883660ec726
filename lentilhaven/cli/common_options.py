"""Options of all commands that connect to the system."""

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
    Settings file, store and output format.

    Attributes
    ----------
    settings : Path or None
        File of the client's settings, as JSON with comments; the defaults apply
        without one.
    store : str
        Base URL of the platform's object API; overrides the settings.
    json : bool
        Print JSON instead of text.
    """

    settings: Annotated[
        Path | None, cyclopts.Parameter(env_var="LENTILHAVEN_SETTINGS")
    ] = None
    store: str = ""
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False

    def read_settings(self) -> Result[ClientSettings, Failure]:
        """Return the settings of the client, with the store option applied."""
        settings = ClientSettings()
        if self.settings is not None:
            parsed = read_document(self.settings, ClientSettings)
            if parsed.is_error():
                return Error(parsed.error)
            settings = parsed.ok
        if self.store:
            settings = attrs.evolve(settings, store_url=self.store)
        return Ok(settings)


#: Type of the parameter through which a command takes the common options.
CommonParameter = Annotated[CommonOptions, cyclopts.Parameter(name="*")]

DEFAULT_OPTIONS = CommonOptions()
