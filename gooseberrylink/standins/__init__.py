"""Takes the place of outside systems in tests, the demo and the bench."""
