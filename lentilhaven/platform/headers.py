"""Names of the platform's HTTP headers."""

from lentilhaven.core.hop_by_hop import HOP_BY_HOP

REQUEST_ID = "Request-Id"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "Model"
#: Number of prompt tokens and maximum number of output tokens, separated by a comma.
TOKEN_COUNT = "Token-Count"
#: Parts of the prompt in order, as ID:TOKENS entries separated by commas; the last one
#: belongs to the request or its session, others are shared between requests.
PROMPT_PREFIX = "Prompt-Prefix"
#: Number of output tokens that the caller expects; a rough estimate.
LENGTH_HINT = "Length-Hint"
#: Milliseconds until the deadline, counted from the arrival of the request.
DEADLINE_MS = "Deadline-Ms"
AUTHORIZATION = "Authorization"
#: Name of the caller's workspace.
TENANT = "Tenant"
#: Id of the only endpoint that may run the request.
EXPECT_REPLICA = "Expect-Replica"
#: Version of the weights that the request must run on.
EXPECT_VERSION = "Expect-Version"
#: Chain of endpoints and their layers; despite its name, not a number of hops.
HOP_COUNT = "Hop-Count"
#: Priority in the engine's queue, 0 to 9; 0 is first.
REQUEST_PRIORITY = "Request-Priority"
#: Code with which the caller verifies that the response comes from the endpoint.
REPLICA_SIGNATURE = "Replica-Signature"
#: Present if the endpoint guarantees that the request has not run.
NOT_EXECUTED = "Not-Executed"
#: Numbers of running requests, waiting requests and slots, separated by commas.
REPLICA_LOAD = "Replica-Load"
#: Address of the part of a chain that caused the failure.
AT_SERVER = "At-Server"
WEIGHT_VERSIONS = "Weight-Versions"
#: Seconds; from an endpoint with status 503, how long it wants no requests.
RETRY_AFTER = "Retry-After"
#: Present, with a value other than 0, if the endpoint is leaving the fleet.
SERVER_LEAVING = "Server-Leaving"
#: Requests a second that the endpoint takes from all VMs together, a decimal number.
SERVER_LIMIT = "Server-Limit"
#: Number that rises whenever the store is restored from a copy.
STORE_ERA = "Store-Era"

#: Authentication scheme of the API keys in `AUTHORIZATION`.
KEY_SCHEME = "Bearer"

#: Request headers that are not forwarded: the gateway sets or consumes them.
UNFORWARDED_REQUEST_HEADERS = HOP_BY_HOP | {
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

#: Response headers that are not forwarded: the gateway sets or consumes them.
UNFORWARDED_RESPONSE_HEADERS = HOP_BY_HOP | {"content-length", REPLICA_LOAD.lower()}
