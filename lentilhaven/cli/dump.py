"""The command ``dump``."""

from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json
from lentilhaven.cli.vm_choice import find_vm


def dump(
    vm: str, *, program: str = "", common: CommonParameter = DEFAULT_OPTIONS
) -> int:
    """
    Print the state of a VM's processes as JSON, without secrets.

    Parameters
    ----------
    vm
        Id of the VM.
    program
        ``agent`` or ``router``; both by default.
    """

    async def run(connection: Connection) -> int:
        listed_vm = await find_vm(connection, vm)
        programs = [program] if program else ["agent", "router"]
        states = {}
        for name in programs:
            states[name] = unwrap(
                await connection.request(listed_vm, name, "/debug/state")
            )
        print_json(states)
        return ExitCode.OK

    return run_command(common, run)
