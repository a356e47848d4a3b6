"""``daisylink-platform``: stand-in for the platform's key-value service."""

from typing import Annotated

import typer

from daisylink.commands._run import exit_with, run_server
from daisylink.errors import SettingError
from daisylink.loop import Application, wait_for_stop_signal
from daisylink.settings import Address
from daisylink.standin import PlatformServer, PlatformSettings

app = typer.Typer(add_completion=False)


@app.command()
def run(
    listen: Annotated[
        str,
        typer.Option(envvar="DAISYLINK_LISTEN", help="Address to listen on, ip:port."),
    ] = "127.0.0.1:8500",
    reads: Annotated[
        int, typer.Option(envvar="DAISYLINK_READS", help="Maximum reads per second.")
    ] = 2000,
    writes: Annotated[
        int, typer.Option(envvar="DAISYLINK_WRITES", help="Maximum writes per second.")
    ] = 300,
    log_level: Annotated[
        str,
        typer.Option(envvar="DAISYLINK_LOG_LEVEL", help="Lowest level of log lines."),
    ] = "INFO",
) -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    try:
        address = Address.from_text(listen, "listen")
    except SettingError as error:
        exit_with(error)
    settings = PlatformSettings(address.host, address.port, reads, writes)

    async def serve(application: Application) -> None:
        server = PlatformServer.from_config(application, settings)
        server.start()
        await wait_for_stop_signal()
        server.stop()

    run_server(serve, log_level)


def main() -> None:
    """Run the program."""
    app()
