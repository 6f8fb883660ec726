"""
Runs the emitter: ``python -m lentilhaven.bench.cost PORT GAP``.

GAP is the interval between two consecutive tokens, in seconds.
"""

import asyncio
import sys

from lentilhaven.bench.cost.emitter import serve_emitter

if __name__ == "__main__":
    asyncio.run(serve_emitter(int(sys.argv[1]), float(sys.argv[2])))
