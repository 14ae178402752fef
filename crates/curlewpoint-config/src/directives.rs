//! Table of all blocks and directives: value kind, default, and the decision module's setting that a directive fills.

/// The kind of values that a directive takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    Text,
    Address,
    /// One or more addresses.
    Addresses,
    Time,
    Memory,
    Number,
    Share,
    YesNo,
    /// A date in UTC, `2027-03-01`.
    Date,
    /// One of these words. Each is paired with the decision module's word for it.
    OneOf(&'static [(&'static str, &'static str)]),
    /// Any of these words, in any order. Each is paired with the decision module's word for it.
    AnyOf(&'static [(&'static str, &'static str)]),
}

pub struct Directive {
    pub name: &'static str,
    pub value_kind: ValueKind,
    /// Empty: no default.
    pub default: &'static str,
    /// The decision module's setting, as `name` or `group.name`. Empty: the module does not get this directive.
    pub setting: &'static str,
    /// Help text.
    pub about: &'static str,
}

pub struct Block {
    /// Empty: the top level of the file.
    pub name: &'static str,
    /// Whether the block has a name of its own. Named blocks may be given many times.
    pub named: bool,
    pub directives: &'static [Directive],
    /// Help text.
    pub about: &'static str,
}

const fn directive(
    name: &'static str, value_kind: ValueKind, default: &'static str, setting: &'static str,
    about: &'static str,
) -> Directive {
    Directive { name, value_kind, default, setting, about }
}

use ValueKind::*;

const EFFECT: ValueKind = OneOf(&[
    ("idempotent", "read_like"),
    ("tokened", "idempotency_key"),
    ("side-effecting", "non_idempotent"),
]);
const TOKEN_GROUP: ValueKind = OneOf(&[("all", "all"), ("zone", "zone"), ("cell", "cell")]);
const REPORT_SOURCE: ValueKind = OneOf(&[("probes", "pull"), ("answers", "piggyback"), ("none", "silent")]);
const REPORT_FIELDS: ValueKind = AnyOf(&[
    ("utilisation", "utilization"),
    ("held", "outstanding"),
    ("queue", "backlog"),
    ("held-memory", "x0"),
    ("loads", "x1"),
]);
const WORKER_SIZES: ValueKind = OneOf(&[("none", "silent"), ("nominal", "nominal"), ("rough", "rough")]);
const ABSENT_FUNCTION: ValueKind = OneOf(&[("load", "load"), ("miss", "miss")]);
const LOG_LEVEL: ValueKind =
    OneOf(&[("error", ""), ("warn", ""), ("info", ""), ("debug", ""), ("trace", "")]);
const LOG_FORMAT: ValueKind = OneOf(&[("text", ""), ("json", "")]);

pub const BLOCKS: &[Block] = &[
    Block {
        name: "",
        named: false,
        about: "Directives at the top level of the file.",
        directives: &[
            directive("name", Text, "", "", "Name of this instance in hellos, RPC names and logs."),
            directive("listen", Address, "", "", "Address on which clients connect."),
            directive("http", Address, "", "", "Address on which the HTTP endpoint listens. Absent: no HTTP endpoint."),
            directive("list", Address, "", "", "Address of the list service."),
            directive(
                "instances",
                Number,
                "1",
                "instances",
                "Number of schedulers that send work to these workers, including this one.",
            ),
            directive("seed", Number, "", "", "Seed of all random choices. Absent: taken from the clock at start. It is logged at start."),
            directive("stop-limit", Time, "30s", "", "Time that a stop waits for open RPCs before it aborts them."),
            directive("title", Text, "", "", "Title of the API documents. Absent: the instance name."),
            directive("release", Text, "1", "", "Release of the methods, for the API documents."),
            directive("withdrawn-for", Time, "24h", "", "Time for which a method that a reload removed is answered as withdrawn (410) instead of unknown."),
            directive("most-releases", Number, "3", "", "Maximum number of method sets held at a time, including the current one. A set is held while RPCs accepted under it are open."),
            directive("log-level", LOG_LEVEL, "info", "", "Minimum level of log lines."),
            directive("log-format", LOG_FORMAT, "text", "", "Format of log lines."),
        ],
    },
    Block {
        name: "method",
        named: true,
        about: "A method that clients may call. At least one is required.",
        directives: &[
            directive(
                "effect",
                EFFECT,
                "",
                "effect",
                "Whether a repeated call is harmless: always, by its idempotency token, or never.",
            ),
            directive("group", TOKEN_GROUP, "cell", "group", "Tokened methods: the group of workers that share their record of tokens."),
            directive("memory-span", Time, "0s", "memorySpan", "Tokened methods: time for which a worker remembers a token."),
            directive("soft-deadline", Time, "", "aim", "An answer within this time earns the full gain."),
            directive(
                "deadline",
                Time,
                "",
                "giveUp",
                "Maximum time that a client waits. A client may state a shorter time left.",
            ),
            directive("gain", Number, "1", "gain", "Value of an answer in time, relative to other methods."),
            directive(
                "late-gain",
                Share,
                "0%",
                "lateWorth",
                "Share of the gain that an answer after the soft deadline still earns.",
            ),
            directive("lanes", Number, "1", "lanes", "Number of RPCs that a loaded copy runs at a time."),
            directive("about", Text, "", "", "Description of the method in one sentence, for the API documents."),
            directive("request-schema", Text, "", "", "File with the JSON Schema (2020-12) of the request, relative to the configuration's folder. Absent: any bytes."),
            directive("answer-schema", Text, "", "", "File with the JSON Schema (2020-12) of the answer. Absent: any bytes."),
            directive("example", Text, "", "", "File with a JSON array of valid example requests."),
            directive("since", Text, "", "", "Release that introduced the method."),
            directive("until", Text, "", "", "Release that removes the method, if known."),
            directive("deprecated", Date, "", "", "Date from which clients should use another method. Sent in a `Deprecation` header."),
            directive("sunset", Date, "", "", "Earliest date on which the method is removed. Sent in a `Sunset` header."),
        ],
    },
    Block {
        name: "tenant",
        named: true,
        about: "A tenant. If no tenant is configured, RPCs need not name one. Otherwise each RPC must name one of these.",
        directives: &[directive("share", Share, "", "share", "Share of the capacity of the workers that the tenant is entitled to.")],
    },
    Block {
        name: "workers",
        named: false,
        about: "Properties of the workers and the limits that schedulers keep towards them.",
        directives: &[
            directive(
                "drain-grace",
                Time,
                "500ms",
                "contract.drainGrace",
                "Time after the notice of a drain during which new work may still arrive at the worker.",
            ),
            directive(
                "warm-within",
                Time,
                "20s",
                "contract.warmWithin",
                "Maximum time that a worker takes to warm up after its start.",
            ),
            directive(
                "start-capacity",
                Share,
                "20%",
                "contract.startCapacity",
                "Minimum share of its capacity that a worker has at its start.",
            ),
            directive(
                "fall-multiple",
                Number,
                "2",
                "contract.fallMultiple",
                "A cold worker that gets more than this multiple of the work that it can do ...",
            ),
            directive("fall-window", Time, "2s", "contract.fall", "... during this time collapses under the load."),
            directive(
                "absent",
                ABSENT_FUNCTION,
                "load",
                "familyInfo.whenAbsent",
                "What a worker does without a copy of the function: it loads one, or answers with a miss.",
            ),
            directive(
                "keep-alive",
                Time,
                "8s",
                "familyInfo.keepAlive",
                "Minimum time for which an idle copy stays loaded, unless its memory is needed.",
            ),
            directive("orders", YesNo, "yes", "familyInfo.mayOrder", "Whether schedulers may order workers to load copies."),
            directive(
                "order-limit",
                Time,
                "10s",
                "familyInfo.orderLimit",
                "A load order without an answer within this time has failed.",
            ),
            directive(
                "load-window",
                Time,
                "0s",
                "familyInfo.loadsWithin",
                "Time window of the limit on load orders. 0s: no limit.",
            ),
            directive("load-floor", Number, "0", "familyInfo.loadFloor", "Number of load orders allowed in each window ..."),
            directive("load-share", Share, "0%", "familyInfo.loadShare", "... plus this number for each RPC accepted in the window."),
            directive("reports", REPORT_SOURCE, "probes", "loadInfo.how", "How load reports arrive: in answers to probes, in answers to attempts, or not at all."),
            directive(
                "report-fields",
                REPORT_FIELDS,
                "utilisation held held-memory",
                "loadInfo.names",
                "Fields of a load report, in this order.",
            ),
            directive("sizes", WORKER_SIZES, "none", "weightKind", "Meaning of the worker sizes in the list: none, nominal or rough."),
        ],
    },
    Block {
        name: "rpcs",
        named: false,
        about: "Limits and permissions for RPCs.",
        directives: &[
            directive(
                "most-open",
                Number,
                "20000",
                "limits.maxOpen",
                "Maximum number of open RPCs. Further RPCs are refused before they are accepted.",
            ),
            directive("most-call-outs", Number, "5", "limits.maxAttempts", "Maximum number of attempts for one RPC."),
            directive("cancel", YesNo, "yes", "limits.mayCancel", "Whether attempts may be cancelled."),
            directive(
                "second-copies",
                YesNo,
                "yes",
                "limits.secondCopies",
                "Whether two attempts of an RPC may be open at the same time.",
            ),
            directive("probes", YesNo, "yes", "limits.probes", "Whether workers may be probed."),
            directive(
                "probe-limit",
                Time,
                "1s",
                "limits.probeLimit",
                "A probe without an answer within this time has failed.",
            ),
            directive(
                "answer-slack",
                Time,
                "20ms",
                "contract.answerSlack",
                "Time subtracted from a client's time left, so that the answer arrives in time.",
            ),
            directive("advise", YesNo, "no", "limits.retryAfter", "Whether a denial tells the client when to try again."),
            directive(
                "most-advice",
                Time,
                "0s",
                "limits.maxRetryAfter",
                "Maximum retry delay that a denial states.",
            ),
        ],
    },
    Block {
        name: "fleet",
        named: false,
        about: "Other instances that serve the same workers. Without `listen` this instance does not communicate with others.",
        directives: &[
            directive("name", Text, "", "", "Name of the fleet. Instances of another fleet are refused."),
            directive("listen", Address, "", "", "Address on which peers connect."),
            directive("reached-at", Address, "", "", "Address at which peers reach this instance. Absent: the address of `listen`."),
            directive("peers", Addresses, "", "", "Addresses of some instances of the fleet, possibly including this one. The others become known through them."),
            directive("snapshot", Text, "", "", "File that keeps the list and the addresses of instances for the next start, relative to the configuration's folder. Absent: no snapshot."),
            directive("snapshot-age", Time, "10min", "", "Maximum age of a snapshot that is used."),
            directive("hints", YesNo, "yes", "", "Whether this instance exchanges hints with its peers: observations of functions at workers, such as copies, loads in progress and refusals."),
            directive("directory", Memory, "", "", "Maximum bytes per second that this instance sends for the copy directory, from 1KiB to 1MiB. With a directory, observations go to a few instances and are queried from them. Absent: they are sent to all peers."),
            directive("watchers", Number, "3", "", "Number of instances that watch the list service on behalf of the fleet."),
            directive("most-instances", Number, "1000", "", "Maximum number of instances known at a time. Including instances that have ended, four times as many are remembered."),
            directive("most-links", Number, "512", "", "Maximum number of links that peers may open to this instance."),
        ],
    },
    Block {
        name: "amqp",
        named: false,
        about: "A broker (AMQP 0-9-1) whose queues `curlewpoint.METHOD` are consumed. Without an address no broker is used.",
        directives: &[
            directive("address", Address, "", "", "Address of the broker."),
            directive("user", Text, "guest", "", "User name at the broker."),
            directive("password", Text, "guest", "", "Password at the broker."),
            directive("vhost", Text, "/", "", "Virtual host at the broker."),
            directive("tls-roots", Text, "", "", "PEM file of root certificates. The broker's certificate must be signed by one of them. Absent: no TLS."),
            directive("tls-name", Text, "localhost", "", "Name that the broker's certificate must have."),
            directive("connections", Number, "1", "", "Number of connections to the broker. The queues are spread over them."),
            directive("heartbeat", Time, "10s", "", "Heartbeat interval in whole seconds. A connection that is silent for twice this time is closed."),
            directive("most-held", Number, "256", "", "Maximum number of messages held from one queue. Fewer are held if fewer can be answered in time."),
            directive("time-left", Time, "", "", "Time that a requester waits if its message does not state one. Absent: the method's deadline."),
            directive("dead-letters", Text, "curlewpoint.dead", "", "Queue for messages that cannot be read and for answers that cannot be delivered."),
            directive("journal", Text, "", "", "File that records the messages whose RPCs may have been sent. Required with an address."),
            directive("journal-most", Memory, "256MiB", "", "Maximum size of the journal. Messages that need a record are not sent while the journal is full."),
            directive("journal-delay", Time, "0s", "", "Time that a journal write waits so that further records can be written with it."),
            directive("keep", Time, "1h", "", "Time for which a record is kept if its message is not delivered again."),
            directive("amqp-back-off", Time, "200ms", "", "Delay before reconnecting after a lost connection. It doubles with each consecutive failure ..."),
            directive("amqp-most-back-off", Time, "5s", "", "... up to this limit."),
        ],
    },
    Block {
        name: "connections",
        named: false,
        about: "Limits of connections.",
        directives: &[
            directive(
                "clients",
                Number,
                "10000",
                "",
                "Maximum number of connected clients. Further connections are closed with a FAULT frame.",
            ),
            directive("http-clients", Number, "1000", "", "Maximum number of HTTP connections. Further connections are closed."),
            directive("http-slow", Time, "10s", "", "Maximum time for a client to send a request's headers, and again for its body."),
            directive("http-head", Memory, "16KiB", "", "Maximum size of a request's headers."),
            directive("to-worker", Number, "4", "", "Maximum number of connections to one worker."),
            directive("streams", Number, "32", "", "Maximum number of open attempts on one connection to a worker."),
            directive("dial-limit", Time, "250ms", "", "A connection that is not established within this time has failed."),
            directive("idle", Time, "15s", "", "Time after which an idle connection to a worker is closed."),
            directive(
                "back-off",
                Time,
                "50ms",
                "",
                "Delay after a failed dial. It doubles with each consecutive failure ...",
            ),
            directive("most-back-off", Time, "2s", "", "... up to this limit."),
            directive("most-frame", Memory, "16MiB", "", "Maximum length of a frame. Frames from clients may be at most 4 KiB shorter, so that an attempt with its longer header fits into a frame to a worker."),
            directive("outbox", Memory, "32MiB", "", "Maximum number of bytes queued for writing on one connection."),
            directive("write-limit", Time, "10s", "", "A connection on which nothing can be written for this time is closed."),
            directive("outbox-frames", Number, "1024", "", "Maximum number of frames queued for writing on one connection."),
            directive("hello-limit", Time, "2s", "", "Maximum time for a peer to send its hello."),
        ],
    },
];
