"""The agent program on the platform: the one caller of the runner on its machine."""
