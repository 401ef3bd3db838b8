"""Memory and look-up time of the client block table by its size."""

import random
import time

from medlarhollow.steering.regions.block_table import BlockTable

from .report import fit_line
from .report import write_results

SEED = 1
BLOCK_COUNTS = [250_000, 500_000, 1_000_000, 1_900_000]
SITE_COUNT = 3_700
LOOKUP_COUNT = 200_000


def make_blocks(count, rng):
    """Return random client blocks; about a tenth is nested in wider ones."""
    blocks = {}
    while len(blocks) < count:
        length = rng.choice([16, 20, 22, 23, 24, 24, 24, 24, 26, 28])
        value = rng.getrandbits(32) >> (32 - length) << (32 - length)
        address = ".".join(
            str(value >> shift & 255) for shift in (24, 16, 8, 0)
        )
        blocks[f"{address}/{length}"] = f"site-{rng.randrange(SITE_COUNT)}"
    return blocks


def measure(count, rng):
    """Return the measurements of a table of `count` blocks."""
    blocks = make_blocks(count, rng)
    started = time.perf_counter()
    table = BlockTable(blocks.items())
    build_s = time.perf_counter() - started
    values = [rng.getrandbits(32) for _ in range(LOOKUP_COUNT)]
    started = time.perf_counter()
    for value in values:
        table.find_value(4, value)
    find_value_s = time.perf_counter() - started
    texts = [".".join(map(str, value.to_bytes(4))) for value in values]
    started = time.perf_counter()
    for text in texts:
        table.find(text)
    find_text_s = time.perf_counter() - started
    return {
        "blocks": count,
        "table_mb": table.size_bytes / 1e6,
        "build_s": build_s,
        "find_value_us": find_value_s / LOOKUP_COUNT * 1e6,
        "find_text_us": find_text_s / LOOKUP_COUNT * 1e6,
    }


def main():
    """Run the experiment."""
    rng = random.Random(SEED)
    rows = [measure(count, rng) for count in BLOCK_COUNTS]
    line = fit_line([(row["blocks"], row["table_mb"]) for row in rows])
    write_results("blocks", SEED, rows, bytes_per_block=line.per_unit * 1e6)


if __name__ == "__main__":
    main()
