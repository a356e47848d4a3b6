"""``daisylink-node``: the node process that runs beside a backend server."""

from typing import Annotated

import typer

from daisylink.commands._run import exit_with, run_server
from daisylink.errors import SettingError
from daisylink.loop import Application, wait_for_stop_signal
from daisylink.process import Node
from daisylink.settings import NodeSettings

app = typer.Typer(add_completion=False)


def _flag(name: str, text: str):
    return typer.Option(f"--{name}", envvar=f"DAISYLINK_{name.upper()}", help=text)


@app.command()
def run(
    zone: Annotated[str, _flag("zone", "Availability zone of the instance.")],
    platform: Annotated[
        str, _flag("platform", "Address of the key-value service, ip:port.")
    ],
    callers: Annotated[
        str, _flag("callers", "Address to listen on for callers, ip:port.")
    ] = "127.0.0.1:8080",
    relay: Annotated[
        str,
        _flag("relay", "Address to listen on for requests from other nodes, ip:port."),
    ] = "127.0.0.1:8081",
    control: Annotated[
        str, _flag("control", "Address to listen on for control messages, ip:port.")
    ] = "127.0.0.1:8082",
    admin: Annotated[
        str,
        _flag("admin", "Address to listen on for the backend server and operators."),
    ] = "127.0.0.1:8083",
    peers: Annotated[
        str, _flag("peers", "Control addresses to contact first, separated by commas.")
    ] = "",
    grace: Annotated[
        float,
        _flag("grace", "Maximum seconds that a shutdown waits for open requests."),
    ] = 20.0,
    drain: Annotated[
        float,
        _flag("drain", "Seconds to keep serving after a shutdown is announced."),
    ] = 1.0,
    log_level: Annotated[
        str,
        typer.Option(envvar="DAISYLINK_LOG_LEVEL", help="Lowest level of log lines."),
    ] = "INFO",
) -> None:
    """Run the node until SIGTERM or SIGINT, then shut it down gracefully."""
    config = {
        "zone": zone,
        "platform": platform,
        "callers": callers,
        "relay": relay,
        "control": control,
        "admin": admin,
        "peers": peers,
        "grace": grace,
        "drain": drain,
    }
    try:
        settings = NodeSettings.from_config(config)
    except SettingError as error:
        exit_with(error)

    async def serve(application: Application) -> None:
        node = Node.from_config(settings, application)
        await node.start()
        await wait_for_stop_signal()
        await node.stop()

    run_server(serve, log_level)


def main() -> None:
    """Run the program."""
    app()
