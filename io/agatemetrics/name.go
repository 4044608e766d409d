package agatemetrics

// Name is the name of a metric.
type Name string

// Metrics of an entry process.
const (
	Requests    Name = "requests"
	Answered    Name = "answered"
	Late        Name = "late"
	Refused     Name = "refused"
	Unknown     Name = "unknown"
	Retries     Name = "retries"
	Hedges      Name = "hedges"
	Latency     Name = "latency"
	Upstreams   Name = "upstreams"
	Inflight    Name = "inflight"
	Queue       Name = "queue"
	Headroom    Name = "headroom"
	Shifted     Name = "shifted"
	Drain       Name = "drain"
	Lookups     Name = "lookups"
	Announced   Name = "announced"
	Connections Name = "connections"
	Dropped     Name = "dropped"
	Suspects    Name = "suspects"
	Beats       Name = "beats"
	Skipped     Name = "skipped"
)

// Metrics of both processes.
const (
	Revision   Name = "revision"
	Uptime     Name = "uptime"
	Goroutines Name = "goroutines"
	Heap       Name = "heap"
)

// Metrics of a control process.
const (
	Leader    Name = "leader"
	Term      Name = "term"
	Commit    Name = "commit"
	Applied   Name = "applied"
	Proposals Name = "proposals"
	Sync      Name = "sync"
	Records   Name = "records"
	Bytes     Name = "bytes"
	Sessions  Name = "sessions"
	Grants    Name = "grants"
	Changes   Name = "changes"
	Spread    Name = "spread"
)

// Metric describes a metric for operators.
type Metric struct {
	Name Name
	// Kind is "counter", "gauge" or "histogram".
	Kind string
	// Label says what the parts of the metric are. It is empty for a metric
	// without parts.
	Label string
	Unit  string
	Role  string
	Help  string
}

// Metrics describes every metric.
var Metrics = []Metric{
	{Requests, "counter", "service", "requests", "entry", "requests received"},
	{Answered, "counter", "service", "requests", "entry", "requests whose whole answer was sent before the deadline"},
	{Late, "counter", "service", "requests", "entry", "requests whose caller was told that the deadline passed"},
	{Refused, "counter", "reason", "requests", "entry", "requests refused as not run, malformed ones included"},
	{Unknown, "counter", "service", "requests", "entry", "other requests whose caller was told unknown"},
	{Retries, "counter", "service", "requests", "entry", "second attempts after a failed one"},
	{Hedges, "counter", "service", "requests", "entry", "second attempts beside a slow one"},
	{Latency, "histogram", "service", "µs", "entry", "time from the request to its whole answer"},
	{Upstreams, "gauge", "service", "upstreams", "entry", "upstreams that announce that they are up"},
	{Inflight, "gauge", "service", "requests", "entry", "requests sent to upstreams and not answered"},
	{Queue, "gauge", "service", "requests", "entry", "requests that wait for an upstream"},
	{Headroom, "gauge", "service/region", "requests/s", "entry", "capacity below the target utilisation that is not in use"},
	{Shifted, "counter", "service/from/to", "requests", "entry", "requests sent to another region"},
	{Drain, "histogram", "kind", "µs", "entry", "time from the start of a drain to the end of the last request"},
	{Lookups, "counter", "service", "requests", "entry", "look-ups answered"},
	{Announced, "counter", "verdict", "announcements", "entry", "announcements received"},
	{Connections, "gauge", "", "connections", "entry", "open connections of callers"},
	{Dropped, "counter", "ring", "items", "entry", "items that found the ring between two duties full"},
	{Suspects, "gauge", "", "requests", "entry", "fingerprints of requests that run only alone or are refused because upstreams died of them"},
	{Beats, "counter", "outcome", "heartbeats", "entry", "heartbeats to the control leader"},
	{Skipped, "counter", "", "lines", "entry", "lines of routine decisions that sampling left out"},
	{Revision, "gauge", "", "revisions", "both", "configuration revision in force"},
	{Uptime, "gauge", "", "s", "both", "time since the start"},
	{Goroutines, "gauge", "", "goroutines", "both", "goroutines"},
	{Heap, "gauge", "", "bytes", "both", "memory of live objects"},
	{Leader, "gauge", "", "0 or 1", "control", "whether the replica leads"},
	{Term, "gauge", "", "terms", "control", "current term"},
	{Commit, "gauge", "", "entries", "control", "highest committed log index"},
	{Applied, "gauge", "", "entries", "control", "highest applied log index"},
	{Proposals, "counter", "outcome", "commands", "control", "commands proposed"},
	{Sync, "histogram", "", "µs", "control", "time of one append to the log with its fsync"},
	{Records, "gauge", "", "records", "control", "records of actions"},
	{Bytes, "gauge", "", "bytes", "control", "size of all records of actions"},
	{Sessions, "gauge", "", "hosts", "control", "entry hosts with a recent heartbeat"},
	{Grants, "gauge", "", "grants", "control", "overflow grants in force"},
	{Changes, "counter", "outcome", "changes", "control", "configuration changes asked for"},
	{Spread, "histogram", "", "µs", "control", "time from a committed change until all entry hosts have it in force"},
}
