"""The entry program on the platform: takes jobs, owns them, and has agents run their tasks."""
