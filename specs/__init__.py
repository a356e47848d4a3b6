"""Small specifications of the core protocols, explored exhaustively by minicheck.

``python -m specs`` prints state counts and the mutants that are caught, and writes
docs/SPECS.md.
"""
