"""Memory and look-up time of the client block table against its size."""

import random
import time

from medlarhollow.steering.block_table import BlockTable

from .report import fit_slope
from .report import write

SEED = 1
SIZES = [250_000, 500_000, 1_000_000, 1_900_000]
SITES = 3_700
LOOKUPS = 200_000


def make_blocks(count, source):
    """Return random blocks, a tenth of them nested in wider ones."""
    blocks = {}
    while len(blocks) < count:
        length = source.choice([16, 20, 22, 23, 24, 24, 24, 24, 26, 28])
        value = source.getrandbits(32) >> (32 - length) << (32 - length)
        address = ".".join(str(value >> s & 255) for s in (24, 16, 8, 0))
        blocks[f"{address}/{length}"] = f"site-{source.randrange(SITES)}"
    return blocks


def measure(count, source):
    """Return the figures of a table of `count` blocks."""
    blocks = make_blocks(count, source)
    started = time.perf_counter()
    table = BlockTable(blocks.items())
    build_s = time.perf_counter() - started
    values = [source.getrandbits(32) for _ in range(LOOKUPS)]
    started = time.perf_counter()
    for value in values:
        table.find_value(4, value)
    find_s = time.perf_counter() - started
    texts = [".".join(map(str, value.to_bytes(4))) for value in values]
    started = time.perf_counter()
    for text in texts:
        table.find(text)
    find_text_s = time.perf_counter() - started
    return {
        "blocks": count,
        "table_mb": table.size_bytes / 1e6,
        "build_s": build_s,
        "find_value_us": find_s / LOOKUPS * 1e6,
        "find_text_us": find_text_s / LOOKUPS * 1e6,
    }


def main():
    """Run the experiment."""
    source = random.Random(SEED)
    rows = [measure(count, source) for count in SIZES]
    slope = fit_slope([(row["blocks"], row["table_mb"]) for row in rows])
    write("blocks", SEED, rows, bytes_per_block=slope.per_unit * 1e6)


if __name__ == "__main__":
    main()
