"""Benchmarks and experiments; each module is one command.

Run one with ``python -m bench.NAME``; it writes ``bench/results/NAME.json``
and, where a curve says more than a table, ``bench/results/NAME.png``.
"""
