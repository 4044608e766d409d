package agatemetrics

// Name is the name of a metric.
type Name string

// Metrics of entry processes.
const (
	Requests          Name = "requests"
	Answered          Name = "answered"
	DeadlineExceeded  Name = "late"
	Refused           Name = "refused"
	UnknownOutcomes   Name = "unknown"
	Retries           Name = "retries"
	Hedges            Name = "hedges"
	Latency           Name = "latency"
	Upstreams         Name = "upstreams"
	InFlight          Name = "inflight"
	LimitedUpstreams  Name = "limited"
	Workspaces        Name = "workspaces"
	LinksLost         Name = "unlinked"
	Peers             Name = "peers"
	Forwarded         Name = "forwarded"
	ForwardLatency    Name = "detour"
	Taken             Name = "taken"
	QueueLength       Name = "queue"
	Headroom          Name = "headroom"
	OverflowRequests  Name = "shifted"
	DrainTime         Name = "drain"
	Lookups           Name = "lookups"
	Announcements     Name = "announced"
	CallerConnections Name = "connections"
	DroppedItems      Name = "dropped"
	SuspectRequests   Name = "suspects"
	Heartbeats        Name = "beats"
	SkippedLines      Name = "skipped"
)

// Metrics of both entry and control processes.
const (
	ConfigRevision Name = "revision"
	Uptime         Name = "uptime"
	Goroutines     Name = "goroutines"
	HeapBytes      Name = "heap"
	BufferedBytes  Name = "buffered"
)

// Metrics of control processes.
const (
	IsLeader          Name = "leader"
	Term              Name = "term"
	CommitIndex       Name = "commit"
	AppliedIndex      Name = "applied"
	Proposals         Name = "proposals"
	AppendTime        Name = "sync"
	LogBytes          Name = "log"
	Snapshots         Name = "snapshots"
	SnapshotBytes     Name = "snapshotbytes"
	ActionRecords     Name = "records"
	ActionRecordBytes Name = "bytes"
	Sessions          Name = "sessions"
	OverflowGrants    Name = "grants"
	ConfigChanges     Name = "changes"
	PropagationTime   Name = "spread"
)

// Metric describes a metric for operators.
type Metric struct {
	Name Name
	// Kind is "counter", "gauge" or "histogram".
	Kind string
	// Label describes the label values. It is empty for a metric without
	// labels.
	Label string
	Unit  string
	// Role is "entry", "control" or "both".
	Role string
	Help string
}

// Metrics describes every metric.
var Metrics = []Metric{
	{Requests, "counter", "service", "requests", "entry", "requests received"},
	{Answered, "counter", "service", "requests", "entry", "requests whose complete response was sent before the deadline"},
	{DeadlineExceeded, "counter", "service", "requests", "entry", "requests whose caller was told that the deadline passed"},
	{Refused, "counter", "reason", "requests", "entry", "requests refused without being executed, including malformed ones"},
	{UnknownOutcomes, "counter", "service", "requests", "entry", "requests answered with an unknown outcome, except those past their deadline"},
	{Retries, "counter", "service", "requests", "entry", "second attempts after a failed attempt"},
	{Hedges, "counter", "service", "requests", "entry", "second attempts in parallel with a slow attempt"},
	{Latency, "histogram", "service", "µs", "entry", "time from receiving a request to sending its complete response"},
	{Upstreams, "gauge", "service", "upstreams", "entry", "upstreams that announce themselves as up"},
	{Peers, "gauge", "domain", "hosts", "entry", "other entry hosts that take requests from this one"},
	{Forwarded, "counter", "outcome", "requests", "entry", "requests forwarded to other entry hosts, as this host's links to the upstreams fail"},
	{ForwardLatency, "histogram", "service", "µs", "entry", "time from forwarding a request to the other host's reply"},
	{Taken, "counter", "reason", "requests", "entry", "requests of other entry hosts that were taken, or declined for this reason"},
	{LinksLost, "gauge", "", "0 or 1", "entry", "1 while the host has lost its links to all upstreams"},
	{LimitedUpstreams, "gauge", "service", "upstreams", "entry", "upstreams that name a limit of requests per second"},
	{Workspaces, "counter", "workspace/end", "requests", "entry", "requests of the first 200 workspaces (others: other) that were served, limited (429), refused otherwise, or failed"},
	{InFlight, "gauge", "service", "requests", "entry", "requests sent to upstreams and not yet answered"},
	{QueueLength, "gauge", "service", "requests", "entry", "requests that wait for an upstream"},
	{Headroom, "gauge", "service/region", "requests/s", "entry", "unused capacity below the target utilization"},
	{OverflowRequests, "counter", "service/from/to", "requests", "entry", "requests sent to another region"},
	{DrainTime, "histogram", "kind", "µs", "entry", "time from the start of a drain until the last request has ended"},
	{Lookups, "counter", "service", "requests", "entry", "lookups answered"},
	{Announcements, "counter", "verdict", "announcements", "entry", "announcements received"},
	{CallerConnections, "gauge", "", "connections", "entry", "open connections of callers"},
	{DroppedItems, "counter", "ring", "items", "entry", "items dropped because a queue between goroutines was full"},
	{SuspectRequests, "gauge", "", "requests", "entry", "fingerprints of requests that are isolated or refused because upstreams crashed while they ran"},
	{Heartbeats, "counter", "outcome", "heartbeats", "entry", "heartbeats sent to the control leader"},
	{SkippedLines, "counter", "", "lines", "entry", "log lines of routine decisions skipped by sampling"},
	{ConfigRevision, "gauge", "", "revisions", "both", "configuration revision in force"},
	{Uptime, "gauge", "", "s", "both", "time since the process started"},
	{Goroutines, "gauge", "", "goroutines", "both", "goroutines"},
	{HeapBytes, "gauge", "", "bytes", "both", "size of allocated heap objects"},
	{BufferedBytes, "gauge", "", "bytes", "both", "bytes of requests, responses and messages that the process holds for others"},
	{IsLeader, "gauge", "", "0 or 1", "control", "1 if the replica is the leader, otherwise 0"},
	{Term, "gauge", "", "terms", "control", "current term"},
	{CommitIndex, "gauge", "", "entries", "control", "highest committed log index"},
	{AppliedIndex, "gauge", "", "entries", "control", "highest applied log index"},
	{Proposals, "counter", "outcome", "commands", "control", "commands proposed"},
	{AppendTime, "histogram", "", "µs", "control", "time of one append to the log, including fsync"},
	{LogBytes, "gauge", "", "bytes", "control", "size of the log entries held in memory"},
	{Snapshots, "gauge", "", "snapshots", "control", "snapshots taken since the process started"},
	{SnapshotBytes, "gauge", "", "bytes", "control", "size of these snapshots"},
	{ActionRecords, "gauge", "", "records", "control", "records of actions"},
	{ActionRecordBytes, "gauge", "", "bytes", "control", "size of all records of actions"},
	{Sessions, "gauge", "", "hosts", "control", "entry hosts with a recent heartbeat"},
	{OverflowGrants, "gauge", "", "grants", "control", "overflow grants in force"},
	{ConfigChanges, "counter", "outcome", "changes", "control", "configuration changes requested"},
	{PropagationTime, "histogram", "", "µs", "control", "time from the commit of a configuration change until all entry hosts have applied it"},
}
