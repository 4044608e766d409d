package agatedemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"agategate/core/agateinventory"
	"agategate/io/agatecontrol"
	"agategate/io/agateentry"
	"agategate/io/agatelog"
	"agategate/io/agateops"
	"agategate/io/agatesettings"
)

// Defaults of SystemConfig, and the interval of polls for a condition.
const (
	DefaultControls  = 3
	DefaultEntries   = 6
	DefaultUpstreams = 6
	pollInterval     = 20 * time.Millisecond
)

// SystemConfig configures a System.
type SystemConfig struct {
	// Controls and Entries are the numbers of control replicas and entry hosts.
	// The defaults are 3 and 6.
	Controls int
	Entries  int
	// Upstreams is the number of upstreams of each service. The default is 6.
	Upstreams int
	// Slots and MaxConnections are those of each upstream; see UpstreamConfig.
	Slots          int
	MaxConnections int
	// ServiceTime is the time an upstream takes to execute a request. The default
	// is 10 ms.
	ServiceTime time.Duration
	// Dial opens the connections between the processes; from and to are their
	// regions. Tests use it to add latency. The default is that of
	// package agatelink.
	Dial func(ctx context.Context, from, to string, addr netip.AddrPort) (net.Conn, error)
	// UpstreamAddr returns the address at which an entry host reaches an upstream, for
	// tests of hosts whose links fail. The default is the one that it announces.
	UpstreamAddr func(entry string, upstream netip.AddrPort) netip.AddrPort
	// Verbose writes the processes' log lines to Output.
	Verbose bool
	Output  io.Writer
}

// System runs control replicas, entry hosts and upstreams in one process.
// Entries[i] is nil after StopEntry(i).
type System struct {
	cfg       SystemConfig
	dir       string
	Controls  []*agatecontrol.Control
	Entries   []*agateentry.Entry
	Upstreams []*Upstream

	controlSettings []agatesettings.Control
	entrySettings   []agatesettings.Entry
	operator        *agateops.Client
}

// regions are the regions of the demo, each with two failure domains.
var regions = []string{"centro", "occidente", "oriente"}

var services = []string{"quotes", "labels"}

// StartSystem starts all replicas, entry hosts and upstreams and applies an
// inventory. It returns when the inventory is active on all entry hosts and all of
// them know all upstreams.
func StartSystem(ctx context.Context, cfg SystemConfig) (*System, error) {
	if cfg.Controls <= 0 {
		cfg.Controls = DefaultControls
	}
	if cfg.Entries <= 0 {
		cfg.Entries = DefaultEntries
	}
	if cfg.Upstreams <= 0 {
		cfg.Upstreams = DefaultUpstreams
	}
	if cfg.Output == nil {
		cfg.Output = io.Discard
	}
	dir, err := os.MkdirTemp("", "agategate-demo-")
	if err != nil {
		return nil, fmt.Errorf("agatedemo: %w", err)
	}
	s := &System{cfg: cfg, dir: dir}
	for _, step := range []func(context.Context) error{s.startControls, s.startEntries, s.applyInventory, s.startUpstreams, s.awaitUpstreams} {
		if err := step(ctx); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// freeAddresses returns loopback addresses with ports that are free at the time of
// the call.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, 0, n)
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("agatedemo: %w", err)
		}
		defer ln.Close()
		out = append(out, ln.Addr().(*net.TCPAddr).AddrPort())
	}
	return out, nil
}

func (s *System) logger(name string) *agatelog.Log {
	level := "off"
	if s.cfg.Verbose {
		level = "info"
	}
	return agatelog.New(agatelog.Config{Name: name, Level: level, Output: s.cfg.Output})
}

func (s *System) startControls(context.Context) error {
	addrs, err := freeAddresses(2 * s.cfg.Controls)
	if err != nil {
		return err
	}
	var members []string
	for i := range s.cfg.Controls {
		members = append(members, fmt.Sprintf("control-%d=%s", i+1, addrs[2*i]))
	}
	var admins []string
	for i := range s.cfg.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		settings, err := loadSettings[agatesettings.Control](map[string]string{
			"name":         name,
			"region":       regions[s.replicaRegion(i)],
			"domain":       domainName(s.replicaRegion(i), i%2),
			"data":         filepath.Join(s.dir, name),
			"members":      strings.Join(members, ","),
			"peer":         addrs[2*i].String(),
			"admin":        addrs[2*i+1].String(),
			"tls.insecure": "true",
		})
		if err != nil {
			return err
		}
		s.controlSettings = append(s.controlSettings, settings)
		admins = append(admins, settings.Admin.String())
	}
	for _, settings := range s.controlSettings {
		c, err := agatecontrol.Start(agatecontrol.Config{
			Settings: settings,
			Logger:   s.logger(settings.Name).Logger(),
			Dial:     s.dial(settings.Region),
		})
		if err != nil {
			return err
		}
		s.Controls = append(s.Controls, c)
	}
	s.operator, err = agateops.NewClient(agateops.ClientConfig{Hosts: admins})
	return err
}

// replicaRegion returns the region index of a control replica. Up to three replicas
// are placed in one region each; more are placed in pairs, such as 2-2-1.
func (s *System) replicaRegion(replica int) int {
	if s.cfg.Controls > len(regions) {
		return replica / 2 % len(regions)
	}
	return replica % len(regions)
}

// dial returns the dial function of a process in a region, or nil for the default.
func (s *System) dial(region string) func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if s.cfg.Dial == nil {
		return nil
	}
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		return s.cfg.Dial(ctx, region, s.RegionOf(addr), addr)
	}
}

// RegionOf returns the region of the process with a peer address, or an empty
// string.
func (s *System) RegionOf(addr netip.AddrPort) string {
	for _, c := range s.controlSettings {
		if c.PeerAddr == addr {
			return c.Region
		}
	}
	for _, e := range s.entrySettings {
		if e.PeerAddr == addr {
			return e.Region
		}
	}
	return ""
}

// loadSettings returns settings with default values except for the keys in set.
func loadSettings[T agatesettings.Settings](set map[string]string) (T, error) {
	settings, problems := agatesettings.Load[T](agatesettings.Source{Flags: set})
	if len(problems) > 0 {
		return settings, fmt.Errorf("agatedemo: settings: %w", problems)
	}
	return settings, nil
}

func domainName(region, n int) string {
	return fmt.Sprintf("%s-%c", regions[region], 'a'+rune(n))
}

func (s *System) startEntries(context.Context) error {
	addrs, err := freeAddresses(3 * s.cfg.Entries)
	if err != nil {
		return err
	}
	for i := range s.cfg.Entries {
		settings, err := loadSettings[agatesettings.Entry](map[string]string{
			"name":         fmt.Sprintf("entry-%d", i+1),
			"region":       regions[i%len(regions)],
			"domain":       domainName(i%len(regions), i/len(regions)%2),
			"caller":       addrs[3*i].String(),
			"peer":         addrs[3*i+1].String(),
			"admin":        addrs[3*i+2].String(),
			"replicas":     s.replicaAddresses(),
			"tls.insecure": "true",
		})
		if err != nil {
			return err
		}
		s.entrySettings = append(s.entrySettings, settings)
		cfg := agateentry.Config{Settings: settings, Log: s.logger(settings.Name), Dial: s.dial(settings.Region)}
		if translate := s.cfg.UpstreamAddr; translate != nil {
			cfg.UpstreamAddr = func(addr netip.AddrPort) netip.AddrPort { return translate(settings.Name, addr) }
		}
		e, err := agateentry.Start(cfg)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, e)
	}
	return nil
}

// replicaAddresses returns the peer addresses of the control replicas as a settings value.
func (s *System) replicaAddresses() string {
	var addrs []string
	for _, c := range s.controlSettings {
		addrs = append(addrs, c.PeerAddr.String())
	}
	return strings.Join(addrs, ",")
}

// Inventory returns the inventory that the system starts with.
func (s *System) Inventory() *agateinventory.Inventory {
	inv := &agateinventory.Inventory{TargetUtilization: agateinventory.DefaultTargetUtilization, MaxEjectedShare: agateinventory.DefaultMaxEjectedShare}
	for i, r := range regions {
		inv.Regions = append(inv.Regions, agateinventory.Region{Name: r, Domains: []string{domainName(i, 0), domainName(i, 1)}})
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), 0, 0}), 16)
		inv.Blocks = append(inv.Blocks, agateinventory.Block{Prefix: prefix, Region: r})
	}
	inv.Services = []agateinventory.Service{
		{Name: "quotes", Regions: regions, Deadline: 2 * time.Second, Reads: []agateinventory.Operation{{Method: "GET", Path: "/quotes/*"}}},
		{Name: "labels", Regions: regions, Deadline: 2 * time.Second, Actions: []agateinventory.Operation{{Method: "POST", Path: "/labels"}}},
	}
	for _, e := range s.entrySettings {
		inv.Hosts = append(inv.Hosts, agateinventory.Host{Name: e.Name, Region: e.Region, Domain: e.Domain, CallerAddr: e.CallerAddr, PeerAddr: e.PeerAddr})
	}
	return inv
}

func (s *System) applyInventory(ctx context.Context) error {
	document := agateinventory.Format(s.Inventory())
	var rev agateops.AcceptedChange
	err := s.retry(ctx, "a leader", func() error {
		var err error
		rev, err = s.operator.Apply(ctx, agateops.ChangeRequest{ChangeID: "demo-start", Document: document})
		return err
	})
	if err != nil {
		return err
	}
	return s.awaitRevision(ctx, rev.Revision)
}

// awaitRevision waits until a revision is active on all entry hosts.
func (s *System) awaitRevision(ctx context.Context, revision uint64) error {
	return s.retry(ctx, "the configuration", func() error {
		for i, e := range s.Entries {
			if e != nil && (!e.Ready() || e.Revision() < revision) {
				return fmt.Errorf("agatedemo: entry host %s is at revision %d", s.entrySettings[i].Name, e.Revision())
			}
		}
		return nil
	})
}

// retry calls step until it succeeds or ctx ends.
func (s *System) retry(ctx context.Context, what string, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		if sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("agatedemo: waiting for %s: %w", what, err)
		}
	}
}

func (s *System) startUpstreams(context.Context) error {
	for i := range s.cfg.Upstreams * len(services) {
		region := i / len(services) % len(regions)
		u, err := StartUpstream(UpstreamConfig{
			ID:             fmt.Sprintf("%s-%d", services[i%len(services)], i/len(services)+1),
			Service:        services[i%len(services)],
			Region:         regions[region],
			Domain:         domainName(region, i/len(services)/len(regions)%2),
			Address:        netip.MustParseAddrPort("127.0.0.1:0"),
			ServiceTime:    s.cfg.ServiceTime,
			Slots:          s.cfg.Slots,
			MaxConnections: s.cfg.MaxConnections,
			Entries:        s.callerAddresses(i),
		})
		if err != nil {
			return err
		}
		s.Upstreams = append(s.Upstreams, u)
	}
	return nil
}

// callerAddresses returns the caller addresses of all entry hosts, starting with the nth.
func (s *System) callerAddresses(n int) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range s.entrySettings {
		out = append(out, s.entrySettings[(n+i)%len(s.entrySettings)].CallerAddr)
	}
	return out
}

// awaitUpstreams waits until every entry host knows every upstream.
func (s *System) awaitUpstreams(ctx context.Context) error {
	return s.retry(ctx, "the announcements", func() error {
		for i, e := range s.Entries {
			if n := e.Upstreams(); n < len(s.Upstreams) {
				return fmt.Errorf("agatedemo: %s knows %d of %d upstreams", s.entrySettings[i].Name, n, len(s.Upstreams))
			}
		}
		return nil
	})
}

// Drain adds a drain and waits until it is active on all entry hosts.
func (s *System) Drain(ctx context.Context, kind, name string) error {
	rev, err := s.operator.Drain(ctx, agateops.DrainRequest{
		Kind:     agateinventory.DrainKind(kind),
		Name:     name,
		ChangeID: "demo-drain-" + name,
	})
	if err != nil {
		return fmt.Errorf("agatedemo: drain: %w", err)
	}
	return s.awaitRevision(ctx, rev.Revision)
}

// Operator returns a client of the operators' API.
func (s *System) Operator() *agateops.Client { return s.operator }

// EntrySettings returns the settings of the nth entry host.
func (s *System) EntrySettings(n int) agatesettings.Entry { return s.entrySettings[n] }

// AdminAddresses returns the admin addresses of the entry hosts and of the control
// replicas.
func (s *System) AdminAddresses() (entries, controls []netip.AddrPort) {
	for _, e := range s.entrySettings {
		entries = append(entries, e.Admin)
	}
	for _, c := range s.controlSettings {
		controls = append(controls, c.Admin)
	}
	return entries, controls
}

// FindUpstream returns the first upstream of a service in a region, or nil.
func (s *System) FindUpstream(service, region string) *Upstream {
	for _, u := range s.Upstreams {
		if u.cfg.Service == service && u.cfg.Region == region {
			return u
		}
	}
	return nil
}

// Reapply applies the current inventory as a new revision and waits until it is
// active on all entry hosts.
func (s *System) Reapply(ctx context.Context) error {
	cur, err := s.operator.Config(ctx)
	if err != nil {
		return fmt.Errorf("agatedemo: change: %w", err)
	}
	rev, err := s.operator.Apply(ctx, agateops.ChangeRequest{
		ChangeID: fmt.Sprintf("demo-change-%d", cur.Revision+1),
		Base:     cur.Revision,
		Document: cur.Document,
	})
	if err != nil {
		return fmt.Errorf("agatedemo: change: %w", err)
	}
	return s.awaitRevision(ctx, rev.Revision)
}

// StopEntry shuts down the nth entry host gracefully.
func (s *System) StopEntry(ctx context.Context, n int) error {
	e := s.Entries[n]
	err := e.Stop(ctx)
	s.Entries[n] = nil
	return err
}

// Runs returns how often a request with an idempotency key was executed on all
// upstreams.
func (s *System) Runs(key string) int {
	n := 0
	for _, u := range s.Upstreams {
		n += u.Runs(key)
	}
	return n
}

// Close kills all processes and removes the data directory.
func (s *System) Close() {
	for _, u := range s.Upstreams {
		u.Kill()
	}
	for _, e := range s.Entries {
		if e != nil {
			e.Kill()
		}
	}
	for _, c := range s.Controls {
		c.Kill()
	}
	_ = os.RemoveAll(s.dir)
}
