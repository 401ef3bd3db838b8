"""Benchmarks and experiments; each module is one command.

Run one with ``python -m bench.NAME``; it writes ``bench/results/NAME.json``
and, if it draws a plot, ``bench/results/NAME.png``.
"""
