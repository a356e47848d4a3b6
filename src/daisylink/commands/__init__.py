"""The programs: ``daisylink-node``, ``daisylinkctl`` and the stand-ins."""
