"""gapdrum: a dispatcher for sub-second tasks.

Callers submit jobs, which are parallel batches of short tasks, to an entry
process; agents beside the runners start the tasks.  ``gapdrum.api`` has the
functions that most programs need.
"""

from gapdrum.__version__ import __version__

__all__ = ["__version__"]
