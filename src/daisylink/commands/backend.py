"""``daisylink-backend``: stand-in backend server."""

import os
from typing import Annotated

import typer

from daisylink.commands._run import EXIT_FAILURE, exit_with, run_server
from daisylink.errors import SettingError
from daisylink.loop import Application, wait_for_stop_signal
from daisylink.settings import Address
from daisylink.standin import BackendServer, BackendSettings

app = typer.Typer(add_completion=False)


@app.command()
def run(
    pool: Annotated[
        str, typer.Option(envvar="DAISYLINK_POOL", help="Pool of the backend server.")
    ],
    listen: Annotated[
        str,
        typer.Option(envvar="DAISYLINK_LISTEN", help="Address to listen on, ip:port."),
    ] = "127.0.0.1:9000",
    admin: Annotated[
        str,
        typer.Option(
            envvar="DAISYLINK_ADMIN", help="Admin address of the node, ip:port."
        ),
    ] = "",
    slots: Annotated[
        int, typer.Option(envvar="DAISYLINK_SLOTS", help="Maximum concurrent requests.")
    ] = 10,
    connections: Annotated[
        int,
        typer.Option(envvar="DAISYLINK_CONNECTIONS", help="Maximum open connections."),
    ] = 110,
    service_ms: Annotated[
        float,
        typer.Option(
            envvar="DAISYLINK_SERVICE_MS", help="Milliseconds that a request takes."
        ),
    ] = 0.0,
    cold_ms: Annotated[
        float,
        typer.Option(
            envvar="DAISYLINK_COLD_MS", help="Milliseconds that a cold start takes."
        ),
    ] = 0.0,
    log_level: Annotated[
        str,
        typer.Option(envvar="DAISYLINK_LOG_LEVEL", help="Lowest level of log lines."),
    ] = "INFO",
) -> None:
    """Run the stand-in until SIGTERM or SIGINT, then shut it down gracefully."""
    try:
        address = Address.from_text(listen, "listen")
        if admin:
            Address.from_text(admin, "admin")
    except SettingError as error:
        exit_with(error)
    settings = BackendSettings(
        pool,
        address.host,
        address.port,
        admin,
        slots,
        connections,
        service_ms,
        cold_ms,
    )

    async def serve(_application: Application) -> None:
        server = BackendServer(settings, crash=lambda: os._exit(EXIT_FAILURE))
        await server.start()
        await wait_for_stop_signal()
        await server.stop()

    run_server(serve, log_level)


def main() -> None:
    """Run the program."""
    app()
