"""Run the operator tool with ``python -m medlarhollow.cli``."""

import sys

from .main import main

sys.exit(main())
