"""Entry point of the command ``lentilhaven``."""

import sys

import cyclopts

from lentilhaven.cli.apply import apply
from lentilhaven.cli.check import check
from lentilhaven.cli.diff import diff
from lentilhaven.cli.drain import drain
from lentilhaven.cli.dump import dump
from lentilhaven.cli.explain import explain_app
from lentilhaven.cli.get import get
from lentilhaven.cli.history import history
from lentilhaven.cli.keys import keys
from lentilhaven.cli.rollback import rollback
from lentilhaven.cli.status import status

app = cyclopts.App(name="lentilhaven", help="The operators' client.")

for command in (
    get,
    check,
    diff,
    apply,
    history,
    rollback,
    status,
    drain,
    dump,
    keys,
):
    app.command(command)
app.command(explain_app)


def main() -> None:
    """Run the client and exit with the exit code of the command."""
    sys.exit(app())


if __name__ == "__main__":
    main()
