"""When a job, and when a machine, is taken to be the cause of failed attempts."""

TRIALS_OF_ITS_OWN = 2  # after so many a job that only fails is itself at fault
