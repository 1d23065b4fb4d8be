"""Placement policies, one module for each kind of work."""

from marigoldgap.scheduling.policies import batch as batch
from marigoldgap.scheduling.policies import gang as gang
from marigoldgap.scheduling.policies import quick as quick
from marigoldgap.scheduling.policies import service as service
