"""Administration API of the control replicas."""

from .app import make_admin_app

__all__ = ["make_admin_app"]
