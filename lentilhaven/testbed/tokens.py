"""Bearer tokens of the processes and callers of a testbed."""

#: Token that the processes of a testbed share.
CLUSTER_TOKEN = "testbed-cluster-token"

#: Token of the testbed's workspace.
WORKSPACE_TOKEN = "testbed-workspace-token"
