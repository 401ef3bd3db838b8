"""Activities under which the processor time of tasks is counted."""

from ..telemetry import set_activity

__all__ = ["run_with_activity", "serve_with_activity"]


async def run_with_activity(activity, work):
    """Run background work, with its time counted under an activity."""
    set_activity(activity)
    await work


def serve_with_activity(activity, app):
    """Return an application whose time is counted under an activity."""

    async def serve(scope, receive, send):
        set_activity(activity)
        await app(scope, receive, send)

    return serve
