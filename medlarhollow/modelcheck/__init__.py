"""Exhaustive exploration of small systems that run the decision code.

``python -m medlarhollow.modelcheck`` explores the interleavings of messages,
suspensions and losses of a few VMs. The models are of the network and the
callers; the decisions are those of the product.
"""

from .first_start import explore_first_start
from .late_orders import explore_late_orders
from .replacements import explore_replacements
from .search import Exploration
from .search import explore
from .usage_reports import explore_usage_reports

__all__ = [
    "Exploration",
    "explore",
    "explore_first_start",
    "explore_late_orders",
    "explore_replacements",
    "explore_usage_reports",
]
