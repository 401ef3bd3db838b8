"""What this VM knows of each backend server: slots, loads, failures."""
