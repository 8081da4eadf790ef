"""The entry program on the platform: accepts jobs, owns them, and sends their tasks to agents."""
