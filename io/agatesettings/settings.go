// Package agatesettings loads the settings of the processes. Flags take precedence
// over environment variables, these over the file, and the file over the
// defaults. Unknown keys and invalid values are errors in every source, and all
// problems are reported at once in the format of the inventory's problems.
//
// A key such as "log.level" is set in the file as level in the table [log],
// by the environment variable AGATEGATE_LOG_LEVEL and by the flag
// --log.level.
//
// # Usage
//
//	flags := agatesettings.Register[agatesettings.Entry](fs)
//	// fs.Parse
//	entry, problems := agatesettings.Load[agatesettings.Entry](agatesettings.Source{
//		File: "entry-1.toml", Environ: os.Environ(), Flags: flags.Values(),
//	})
//	if len(problems) > 0 {
//		return problems
//	}
package agatesettings

import (
	"errors"
	"net/netip"
	"strings"
	"time"
)

// Entry holds the settings of an entry process.
type Entry struct {
	Name       string           `toml:"name" need:"yes" help:"name of the host, as in the inventory"`
	Region     string           `toml:"region" need:"yes" help:"region of the host"`
	Domain     string           `toml:"domain" need:"yes" help:"failure domain of the host"`
	CallerAddr netip.AddrPort   `toml:"caller" need:"yes" help:"address for callers and announcements (HTTP)"`
	PeerAddr   netip.AddrPort   `toml:"peer" need:"yes" help:"address for the system's own processes (gRPC)"`
	Admin      netip.AddrPort   `toml:"admin" default:"127.0.0.1:8082" help:"loopback address for metrics and explain (HTTP)"`
	Replicas   []netip.AddrPort `toml:"replicas" need:"yes" help:"peer addresses of the control replicas"`
	Grace      time.Duration    `toml:"grace" default:"30s" min:"0s" max:"1h" reload:"yes" help:"maximum duration of a graceful shutdown"`
	Limit      EntryLimit       `toml:"limit"`
	Wait       EntryTimeouts    `toml:"wait"`
	TLS        TLS              `toml:"tls"`
	Log        Log              `toml:"log"`
}

// EntryLimit bounds the memory and connections that callers and upstreams can
// consume in an entry process.
type EntryLimit struct {
	Queue       int `toml:"queue" default:"512" unit:"requests" min:"1" max:"1000000" help:"requests that wait for an upstream, per service"`
	Body        int `toml:"body" default:"1048576" unit:"bytes" min:"1" max:"1073741824" help:"largest body of a request"`
	Reply       int `toml:"reply" default:"4194304" unit:"bytes" min:"1" max:"1073741824" help:"largest answer of an upstream"`
	Header      int `toml:"header" default:"65536" unit:"bytes" min:"1024" max:"1048576" help:"largest header of a request"`
	Connections int `toml:"connections" default:"4096" unit:"connections" min:"1" max:"1000000" help:"open connections of callers"`
	Memory      int `toml:"memory" default:"536870912" unit:"bytes" min:"16777216" max:"1099511627776" help:"memory of the process; requests and answers hold at most half of it"`
}

// EntryTimeouts holds the timeouts of an entry process.
type EntryTimeouts struct {
	Deadline time.Duration `toml:"deadline" default:"60s" min:"1ms" max:"1h" help:"maximum deadline that a caller may request"`
	Header   time.Duration `toml:"header" default:"5s" min:"1ms" max:"10m" help:"time for a caller to send the header"`
	Body     time.Duration `toml:"body" default:"10s" min:"1ms" max:"10m" help:"time for a caller to send the body"`
	Idle     time.Duration `toml:"idle" default:"60s" min:"1ms" max:"1h" help:"time that an idle connection of a caller is kept"`
	Connect  time.Duration `toml:"connect" default:"250ms" min:"1ms" max:"1m" help:"time to open a connection to an upstream"`
	Control  time.Duration `toml:"control" default:"1s" min:"1ms" max:"1m" help:"time for one call to a control replica"`
	Answer   time.Duration `toml:"answer" default:"5s" min:"0s" max:"10m" help:"time to wait for the answer to an action after the caller's deadline"`
}

// Control holds the settings of a control process.
type Control struct {
	Name      string          `toml:"name" need:"yes" help:"name of the replica"`
	Region    string          `toml:"region" need:"yes" help:"region of the host"`
	Domain    string          `toml:"domain" need:"yes" help:"failure domain of the host"`
	Data      string          `toml:"data" need:"yes" help:"data directory"`
	PeerAddr  netip.AddrPort  `toml:"peer" need:"yes" help:"address for the system's own processes (gRPC)"`
	Admin     netip.AddrPort  `toml:"admin" need:"yes" help:"address for operators (HTTP)"`
	Members   []Member        `toml:"members" help:"initial members, each as name=address of its peer listener; only read when the data directory is empty"`
	Join      bool            `toml:"join" default:"false" help:"start without members and wait until the group adds this replica"`
	Retention time.Duration   `toml:"retention" default:"24h" min:"1m" max:"8760h" help:"time that records of finished actions are kept"`
	Snapshot  int             `toml:"snapshot" default:"4096" unit:"entries" min:"16" max:"10000000" help:"log entries between two snapshots"`
	Grace     time.Duration   `toml:"grace" default:"10s" min:"0s" max:"1h" reload:"yes" help:"maximum duration of a graceful shutdown"`
	Record    RecordLimit     `toml:"record"`
	Limit     ControlLimit    `toml:"limit"`
	Wait      ControlTimeouts `toml:"wait"`
	TLS       TLS             `toml:"tls"`
	Log       Log             `toml:"log"`
}

// RecordLimit bounds the stored records of actions.
type RecordLimit struct {
	Count  int `toml:"count" default:"200000" unit:"records" min:"1" max:"100000000" help:"records of actions; at the bound new actions are refused"`
	Bytes  int `toml:"bytes" default:"268435456" unit:"bytes" min:"1024" max:"1099511627776" help:"size of all records; at the bound new actions are refused"`
	Answer int `toml:"answer" default:"65536" unit:"bytes" min:"0" max:"16777216" help:"largest answer that is stored"`
}

// ControlLimit bounds the memory and connections that operators can consume in a
// control process.
type ControlLimit struct {
	Body        int `toml:"body" default:"4194304" unit:"bytes" min:"1024" max:"4194304" help:"largest body of an operator's request"`
	Header      int `toml:"header" default:"65536" unit:"bytes" min:"1024" max:"1048576" help:"largest header of an operator's request"`
	Connections int `toml:"connections" default:"64" unit:"connections" min:"1" max:"10000" help:"open connections of operators"`
	Memory      int `toml:"memory" default:"1073741824" unit:"bytes" min:"16777216" max:"1099511627776" help:"memory of the process; requests and messages that arrive hold at most a quarter of it"`
	Disk        int `toml:"disk" default:"4294967296" unit:"bytes" min:"1048576" max:"1099511627776" help:"space for the data directory; a snapshot is due after log entries of a 64th of this, or of limit.memory if that is less"`
}

// historyDivisor is the part of the memory and of the disk of a control process that
// the log may grow by between two snapshots. The log, what is kept for replicas that
// lag, and the messages to them are each a small multiple of it.
const historyDivisor = 64

// LogBytes returns the bound on the log entries between two snapshots, in bytes.
func (l *ControlLimit) LogBytes() int { return min(l.Memory, l.Disk) / historyDivisor }

// ControlTimeouts holds the timeouts of a control process.
type ControlTimeouts struct {
	Header time.Duration `toml:"header" default:"5s" min:"1ms" max:"10m" help:"time for an operator to send the header"`
	Body   time.Duration `toml:"body" default:"10s" min:"1ms" max:"10m" help:"time for an operator to send the whole request"`
	Idle   time.Duration `toml:"idle" default:"60s" min:"1ms" max:"1h" help:"time that an idle connection of an operator is kept"`
	Call   time.Duration `toml:"call" default:"5s" min:"1ms" max:"10m" help:"time for a change to commit before its result is unknown"`
}

// TLS holds the files for TLS connections. All three are required unless Insecure
// is set.
type TLS struct {
	Cert     string `toml:"cert" help:"file with the certificate (PEM)"`
	Key      string `toml:"key" help:"file with the private key (PEM)"`
	CA       string `toml:"ca" help:"file with the CA certificates of own processes (PEM)"`
	Insecure bool   `toml:"insecure" default:"false" help:"disable TLS; must be set explicitly"`
}

// Log holds the settings of the log.
type Log struct {
	Level  string  `toml:"level" default:"info" reload:"yes" oneof:"trace,debug,info,warn,error" help:"minimum level of lines that are written"`
	Format string  `toml:"format" default:"text" oneof:"text,json" help:"format of lines"`
	Sample float64 `toml:"sample" default:"0.1" unit:"share" min:"0" max:"1" reload:"yes" help:"share of routine decisions that are written; refusals, actions and shifts always are"`
	Ring   int     `toml:"ring" default:"4096" unit:"decisions" min:"16" max:"1000000" help:"decisions kept in memory for explain"`
}

// AdapterSettings holds the settings of a process that an adapter configures from
// a foreign configuration format. It has only the keys that the format lacks.
type AdapterSettings struct {
	Log Log `toml:"log"`
	// Ordinals is agateplan.Plan.Ordinals of all plans that the adapter receives.
	Ordinals bool `toml:"ordinals"`
}

// Skip returns the fraction of routine decisions that are not written, which is
// 1 - Sample.
func (l Log) Skip() float64 { return 1 - l.Sample }

// Member is one initial member of the control group.
type Member struct {
	Name    string
	Address netip.AddrPort
}

// String returns the member as "name=address".
func (m Member) String() string { return m.Name + "=" + m.Address.String() }

// MarshalText returns the text of String.
func (m Member) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText parses "name=address".
func (m *Member) UnmarshalText(text []byte) error {
	name, address, ok := strings.Cut(string(text), "=")
	addr, err := netip.ParseAddrPort(address)
	if !ok || name == "" || err != nil {
		return errors.New(`must be a name and an address such as "control-1=127.0.2.1:9000"`)
	}
	*m = Member{Name: name, Address: addr}
	return nil
}
