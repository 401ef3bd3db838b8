"""Run the daemon with ``python -m medlarhollow.daemon``."""

import sys

from .main import main

sys.exit(main())
