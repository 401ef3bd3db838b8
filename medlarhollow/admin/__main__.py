"""Print the OpenAPI description with ``python -m medlarhollow.admin``."""

import json

from .openapi import describe_api

print(json.dumps(describe_api(), indent=2))
