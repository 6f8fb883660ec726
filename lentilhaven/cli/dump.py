"""The command ``dump``."""

from lentilhaven.cli.common_options import DEFAULTS, Common
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json
from lentilhaven.cli.vm_choice import find_vm


def dump(vm: str, *, program: str = "", common: Common = DEFAULTS) -> int:
    """
    Print the state of a VM's processes as JSON, without secrets.

    Parameters
    ----------
    vm
        The VM.
    program
        ``agent`` or ``router``; both if it is left out.
    """

    async def run(connection: Connection) -> int:
        found = await find_vm(connection, vm)
        programs = [program] if program else ["agent", "router"]
        states = {}
        for name in programs:
            states[name] = unwrap(await connection.ask(found, name, "/debug/state"))
        print_json(states)
        return ExitCode.OK

    return run_command(common, run)
