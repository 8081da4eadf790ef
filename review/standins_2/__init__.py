"""Stand-ins for the cases of the second review: store, runners, callers and cuts."""
