"""Names of the headers."""

from lentilhaven.core.hop_by_hop import HOP_BY_HOP

REQUEST_ID = "Request-Id"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "Model"
#: Prompt tokens and the most output tokens, separated by a comma.
TOKEN_COUNT = "Token-Count"
#: Output tokens that the caller expects; a rough estimate.
LENGTH_HINT = "Length-Hint"
#: Milliseconds that are left, counted from the arrival of the request.
DEADLINE_MS = "Deadline-Ms"
AUTHORIZATION = "Authorization"
TENANT = "Tenant"
#: Id of the only endpoint that may run the request.
EXPECT_REPLICA = "Expect-Replica"
#: Version of the weights that the request must run on.
EXPECT_VERSION = "Expect-Version"
#: The chain of endpoints and their layers, not a number of hops.
HOP_COUNT = "Hop-Count"
#: Rank in the engine's queue, 0 to 9; 0 is first.
REQUEST_PRIORITY = "Request-Priority"
#: Code by which the caller checks that the answer is the endpoint's own.
REPLICA_SIGNATURE = "Replica-Signature"
#: Present if the endpoint promises that the request has not run.
NOT_EXECUTED = "Not-Executed"
#: Running and waiting requests and slots, separated by commas.
REPLICA_LOAD = "Replica-Load"
#: Address of the part of a chain that is at fault.
AT_SERVER = "At-Server"
WEIGHT_VERSIONS = "Weight-Versions"
RETRY_AFTER = "Retry-After"

#: Scheme of the keys in `AUTHORIZATION`.
KEY_SCHEME = "Bearer"

#: Request headers that the gateway sets itself or keeps.
OWN_REQUEST_HEADERS = HOP_BY_HOP | {
    name.lower()
    for name in (
        AUTHORIZATION,
        TENANT,
        DEADLINE_MS,
        EXPECT_REPLICA,
        EXPECT_VERSION,
        HOP_COUNT,
        REQUEST_PRIORITY,
        LAST_EVENT_ID,
        "Content-Length",
        "Expect",
    )
}

#: Answer headers that the gateway sets itself or keeps.
OWN_ANSWER_HEADERS = HOP_BY_HOP | {"content-length", REPLICA_LOAD.lower()}
