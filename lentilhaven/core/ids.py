"""
Distinct types for identifiers, so that a type checker can distinguish them.

References
----------
PEP 484, "NewType helper function".
"""

from typing import NewType

VmId = NewType("VmId", str)
DataCentre = NewType("DataCentre", str)
WorkspaceId = NewType("WorkspaceId", str)
EndpointId = NewType("EndpointId", str)
PoolName = NewType("PoolName", str)
RouteName = NewType("RouteName", str)
RequestId = NewType("RequestId", str)
ModelName = NewType("ModelName", str)
ModelVersion = NewType("ModelVersion", str)
