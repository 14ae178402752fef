//! Every directive: where it stands, what it holds, its default, and the setting of the module that it fills.

/// What a directive's values are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    Text,
    Address,
    /// One or more of them.
    Addresses,
    Time,
    Memory,
    Number,
    Share,
    YesNo,
    /// A day in UTC, `2027-03-01`.
    Date,
    /// One of these words; what the module calls each stands behind it.
    OneOf(&'static [(&'static str, &'static str)]),
    /// Any of these words, in any order.
    AnyOf(&'static [(&'static str, &'static str)]),
}

pub struct Directive {
    pub name: &'static str,
    pub value_kind: ValueKind,
    /// An empty one: no default.
    pub default: &'static str,
    /// The module's setting, as part and name; empty: the module is not told.
    pub setting: &'static str,
    pub about: &'static str,
}

pub struct Block {
    /// Empty: the top of the file.
    pub name: &'static str,
    /// Blocks with a name of their own may stand many times.
    pub named: bool,
    pub directives: &'static [Directive],
    pub about: &'static str,
}

const fn d(
    name: &'static str, value_kind: ValueKind, default: &'static str, setting: &'static str,
    about: &'static str,
) -> Directive {
    Directive { name, value_kind, default, setting, about }
}

use ValueKind::*;

const EFFECTS: ValueKind = OneOf(&[
    ("idempotent", "read_like"),
    ("tokened", "idempotency_key"),
    ("side-effecting", "non_idempotent"),
]);
const GROUPS: ValueKind = OneOf(&[("all", "all"), ("zone", "zone"), ("cell", "cell")]);
const REPORTS: ValueKind = OneOf(&[("probes", "pull"), ("answers", "piggyback"), ("none", "silent")]);
const FIELDS: ValueKind = AnyOf(&[
    ("utilisation", "utilization"),
    ("held", "outstanding"),
    ("queue", "backlog"),
    ("held-memory", "x0"),
    ("loads", "x1"),
]);
const SIZES: ValueKind = OneOf(&[("none", "silent"), ("nominal", "nominal"), ("rough", "rough")]);
const ABSENT: ValueKind = OneOf(&[("load", "load"), ("miss", "miss")]);
const LEVELS: ValueKind = OneOf(&[("error", ""), ("warn", ""), ("info", ""), ("debug", ""), ("trace", "")]);
const FORMS: ValueKind = OneOf(&[("text", ""), ("json", "")]);

pub const BLOCKS: &[Block] = &[
    Block {
        name: "",
        named: false,
        about: "The top of the file.",
        directives: &[
            d("name", Text, "", "", "What this instance is called, in hellos, RPC names and logs."),
            d("listen", Address, "", "", "Where clients connect."),
            d("http", Address, "", "", "Where the HTTP door listens; absent: there is none."),
            d("list", Address, "", "", "Where the list service answers."),
            d(
                "instances",
                Number,
                "1",
                "instances",
                "How many schedulers feed these workers, this one included.",
            ),
            d("seed", Number, "", "", "Seed of all chance; absent: drawn at start. The log names it."),
            d("stop-limit", Time, "30s", "", "How long a stop waits for open RPCs before it aborts them."),
            d("title", Text, "", "", "What the descriptions are called; absent: the name."),
            d("release", Text, "1", "", "The release of the methods, for the descriptions."),
            d("withdrawn-for", Time, "24h", "", "How long a method that a reload withdrew is answered as withdrawn (410), not as unknown."),
            d("most-releases", Number, "3", "", "Sets of methods held at a time, the one in force included: each is held while RPCs taken under it are open."),
            d("log-level", LEVELS, "info", "", "The least level that is logged."),
            d("log-format", FORMS, "text", "", "The form of log lines."),
        ],
    },
    Block {
        name: "method",
        named: true,
        about: "A method that clients may call. At least one is needed.",
        directives: &[
            d(
                "effect",
                EFFECTS,
                "",
                "effect",
                "Whether a repeat is harmless: always, by its token, or never.",
            ),
            d("group", GROUPS, "cell", "group", "Tokened: the workers that know each other's tokens."),
            d("memory-span", Time, "0s", "memorySpan", "Tokened: how long a token is remembered."),
            d("soft-deadline", Time, "", "aim", "Answers within this time earn the full gain."),
            d(
                "deadline",
                Time,
                "",
                "giveUp",
                "The longest that a client waits; a client's own time left may be less.",
            ),
            d("gain", Number, "1", "gain", "What an answer in time is worth, against other methods."),
            d(
                "late-gain",
                Share,
                "0%",
                "lateWorth",
                "The share of the gain that a later answer still earns.",
            ),
            d("lanes", Number, "1", "lanes", "How many RPCs a loaded copy runs at a time."),
            d("about", Text, "", "", "What it does, in a sentence, for the descriptions."),
            d("request-schema", Text, "", "", "A file with the JSON Schema (2020-12) of its request; absent: any bytes. Found from the configuration's folder."),
            d("answer-schema", Text, "", "", "The same of its answer."),
            d("example", Text, "", "", "A file with a JSON array of requests that fit."),
            d("since", Text, "", "", "The release in which it came."),
            d("until", Text, "", "", "The release in which it goes, where that is known."),
            d("deprecated", Date, "", "", "The day from which clients should use something else; told in a `Deprecation` header."),
            d("sunset", Date, "", "", "The day on which it goes, at the earliest; told in a `Sunset` header."),
        ],
    },
    Block {
        name: "tenant",
        named: true,
        about: "A tenant. Where none is named, RPCs need name none; else each must name one of these.",
        directives: &[d("share", Share, "", "share", "Its part of what the fleet can do.")],
    },
    Block {
        name: "workers",
        named: false,
        about: "What holds of the workers, and the figures of the rules.",
        directives: &[
            d(
                "drain-grace",
                Time,
                "500ms",
                "contract.drainGrace",
                "How long after the word of a drain new work may still arrive there.",
            ),
            d(
                "warm-within",
                Time,
                "20s",
                "contract.warmWithin",
                "A worker that starts is warm no later than this.",
            ),
            d(
                "start-capacity",
                Share,
                "20%",
                "contract.startCapacity",
                "It starts with at least this part of its capacity.",
            ),
            d(
                "fall-multiple",
                Number,
                "2",
                "contract.fallMultiple",
                "A cold worker sent more than this multiple of what it can do ...",
            ),
            d("fall-window", Time, "2s", "contract.fall", "... over this time falls over."),
            d(
                "absent",
                ABSENT,
                "load",
                "familyInfo.whenAbsent",
                "A worker that lacks the function loads it, or answers a miss.",
            ),
            d(
                "keep-alive",
                Time,
                "8s",
                "familyInfo.keepAlive",
                "How long an idle copy stands at least, unless its room is needed.",
            ),
            d("orders", YesNo, "yes", "familyInfo.mayOrder", "Whether copies may be ordered."),
            d(
                "order-limit",
                Time,
                "10s",
                "familyInfo.orderLimit",
                "A load order without an answer by then has failed.",
            ),
            d(
                "load-window",
                Time,
                "0s",
                "familyInfo.loadsWithin",
                "The window of the ration of load orders; 0s: no ration.",
            ),
            d("load-floor", Number, "0", "familyInfo.loadFloor", "Load orders that each window allows ..."),
            d("load-share", Share, "0%", "familyInfo.loadShare", "... and for each RPC taken in it."),
            d("reports", REPORTS, "probes", "loadInfo.how", "Where load reports come."),
            d(
                "report-fields",
                FIELDS,
                "utilisation held held-memory",
                "loadInfo.names",
                "What they hold, in this order.",
            ),
            d("sizes", SIZES, "none", "weightKind", "What the list's sizes are."),
        ],
    },
    Block {
        name: "rpcs",
        named: false,
        about: "Bounds and permissions of RPCs.",
        directives: &[
            d(
                "most-open",
                Number,
                "20000",
                "limits.maxOpen",
                "RPCs held at a time; more are refused before they are taken.",
            ),
            d("most-call-outs", Number, "5", "limits.maxAttempts", "Attempts for one RPC."),
            d("cancel", YesNo, "yes", "limits.mayCancel", "Whether attempts may be cancelled."),
            d(
                "second-copies",
                YesNo,
                "yes",
                "limits.secondCopies",
                "Whether two attempts of an RPC may be out at once.",
            ),
            d("probes", YesNo, "yes", "limits.probes", "Whether workers may be probed."),
            d(
                "probe-limit",
                Time,
                "1s",
                "limits.probeLimit",
                "A probe without an answer by then has failed.",
            ),
            d(
                "answer-slack",
                Time,
                "20ms",
                "contract.answerSlack",
                "Kept back of a client's time left, so that the answer arrives in time.",
            ),
            d("advise", YesNo, "no", "limits.retryAfter", "Whether denials say when to come back."),
            d(
                "most-advice",
                Time,
                "0s",
                "limits.maxRetryAfter",
                "The longest time to come back that is told.",
            ),
        ],
    },
    Block {
        name: "fleet",
        named: false,
        about: "Other instances that serve the same workers. Without `listen` this instance knows nothing of others.",
        directives: &[
            d("name", Text, "", "", "What the fleet is called; instances of another are refused."),
            d("listen", Address, "", "", "Where peers connect."),
            d("reached-at", Address, "", "", "Where peers reach that from elsewhere; absent: where it listens."),
            d("peers", Addresses, "", "", "Some instances to begin with, this one among them or not; all others are heard of from them."),
            d("snapshot", Text, "", "", "A file that keeps list and addresses of instances for the next start; absent: there is none. Found from the configuration's folder."),
            d("snapshot-age", Time, "10min", "", "An older snapshot is not used."),
            d("hints", YesNo, "yes", "", "Whether this instance tells peers what it sees of functions at workers (copies, loads under way, refusals) and takes what they tell."),
            d("directory", Memory, "", "", "Bytes a second that this instance sends at most for a directory of copies, from 1KiB to 1MiB: what is seen is told to few and asked for. Absent: it is told to all."),
            d("watchers", Number, "3", "", "Instances that watch the list for all."),
            d("most-instances", Number, "1000", "", "Instances that are known at a time; four times as many are remembered with those that ended."),
            d("most-links", Number, "512", "", "Links that peers may open to this instance."),
        ],
    },
    Block {
        name: "amqp",
        named: false,
        about: "A broker (AMQP 0-9-1) whose queues `curlewpoint.METHOD` are consumed. Without an address there is none.",
        directives: &[
            d("address", Address, "", "", "Where the broker listens."),
            d("user", Text, "guest", "", "Who logs in."),
            d("password", Text, "guest", "", "With what."),
            d("vhost", Text, "/", "", "The virtual host."),
            d("tls-roots", Text, "", "", "A file of certificates (PEM), one of which the broker's has to be signed by; absent: no TLS."),
            d("tls-name", Text, "localhost", "", "The name that the broker's certificate has to have."),
            d("connections", Number, "1", "", "Connections to it; the queues are spread over them."),
            d("heartbeat", Time, "10s", "", "A broker that is silent for twice as long is given up; whole seconds."),
            d("most-held", Number, "256", "", "Messages of one queue that are held here at most; fewer where fewer can be answered in time."),
            d("time-left", Time, "", "", "How long a requester waits where its message does not say; absent: the method's deadline."),
            d("dead-letters", Text, "curlewpoint.dead", "", "The queue for messages that cannot be read, and for answers that nobody takes."),
            d("journal", Text, "", "", "The file that notes what may have been sent; needed with an address."),
            d("journal-most", Memory, "256MiB", "", "What it may hold; beyond it nothing that needs it is sent."),
            d("journal-delay", Time, "0s", "", "How long a write to it waits for more to go with it."),
            d("keep", Time, "1h", "", "How long a record is kept whose message does not come again."),
            d("amqp-back-off", Time, "200ms", "", "The pause after a lost connection; it doubles with each in a row ..."),
            d("amqp-most-back-off", Time, "5s", "", "... up to this."),
        ],
    },
    Block {
        name: "connections",
        named: false,
        about: "Bounds of connections.",
        directives: &[
            d(
                "clients",
                Number,
                "10000",
                "",
                "Clients connected at a time; more are turned away with a plain frame.",
            ),
            d("http-clients", Number, "1000", "", "HTTP connections at a time; more are closed."),
            d("http-slow", Time, "10s", "", "How long a client may take for a request's headers, and again for its body."),
            d("http-head", Memory, "16KiB", "", "The bytes of a request's headers."),
            d("to-worker", Number, "4", "", "Connections to one worker."),
            d("streams", Number, "32", "", "Attempts at a time on one of them."),
            d("dial-limit", Time, "250ms", "", "A connection not up by then counts as failed."),
            d("idle", Time, "15s", "", "An idle connection to a worker is closed after this."),
            d(
                "back-off",
                Time,
                "50ms",
                "",
                "The pause after a failed dial; it doubles with each in a row ...",
            ),
            d("most-back-off", Time, "2s", "", "... up to this."),
            d("most-frame", Memory, "16MiB", "", "The longest frame taken; what a client sends may be 4 KiB less, so that it fits a worker's frame with an attempt's head."),
            d("outbox", Memory, "32MiB", "", "Bytes that may wait to be written on one connection."),
            d("write-limit", Time, "10s", "", "A peer that takes not a byte for so long is cut off."),
            d("outbox-frames", Number, "1024", "", "Frames that may wait to be written on one connection."),
            d("hello-limit", Time, "2s", "", "How long a peer may take for its hello."),
        ],
    },
];
