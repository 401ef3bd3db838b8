"""Choice of the server for a request: ranking, load and history of objects."""
