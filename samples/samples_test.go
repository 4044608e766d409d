package samples_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agateinventory"
	"agategate/io/agatecli"
	"agategate/io/agatesettings"
)

// deployment describes one sample: its directory, the third byte of the addresses
// of its control hosts and its regions in the order of control placement.
type deployment struct {
	dir          string
	controlOctet int
	regions      [3]string
}

var deployments = []deployment{
	{"quetzal", 2, [3]string{"centro", "occidente", "oriente"}},
	{"chaleur", 4, [3]string{"montreal", "quebec", "saguenay"}},
}

// Guards against settings files that differ from the inventory. The flag -update
// rewrites them.
func TestSettingsFollowInventory(t *testing.T) {
	for _, d := range deployments {
		inv := d.inventory(t)
		assert.Equal(t, len(inv.Hosts), 10)
		for _, h := range inv.Hosts {
			compare(t, filepath.Join(d.dir, h.Name+".toml"), d.entryFile(h))
		}
		for i := range d.replicas() {
			compare(t, filepath.Join(d.dir, fmt.Sprintf("control-%d.toml", i+1)), d.controlFile(i))
		}
	}
}

// Guards against samples that fail the check command.
func TestSamplesPassCheck(t *testing.T) {
	files, err := filepath.Glob("*/*.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2*16) // inventory, 10 entry and 5 control files each
	files = append(files, "plan.toml")
	var out strings.Builder
	code := agatecli.Run(t.Context(), agatecli.Config{Stdout: &out, Stderr: &out}, append([]string{"check"}, files...))
	assert.Equal(t, code, agatecli.ExitOK, out.String())
	for kind, want := range map[string]int{"inventory": 2, "plan": 1, "entry": 20, "control": 10} {
		assert.Equal(t, strings.Count(out.String(), "ok ("+kind+")"), want)
	}
}

// Guards against a control placement that loses its majority with one region, and
// against two processes with the same address.
func TestPlacement(t *testing.T) {
	addrs := make(map[netip.AddrPort]string)
	addAddresses := func(name string, list ...netip.AddrPort) {
		for _, a := range list {
			assert.Equal(t, addrs[a], "", "%s of %s", a, name)
			addrs[a] = name
		}
	}
	for _, d := range deployments {
		regions := make(map[string]int)
		for i := range d.replicas() {
			file := filepath.Join(d.dir, fmt.Sprintf("control-%d.toml", i+1))
			s, problems := agatesettings.Load[agatesettings.Control](agatesettings.Source{File: file})
			assert.Equal(t, len(problems), 0)
			addAddresses(file, s.PeerAddr, s.Admin)
			regions[s.Region]++
			assert.Equal(t, len(s.Members), 5)
		}
		for region, n := range regions {
			assert.Assert(t, n <= 2, "%s has %d control hosts", region, n)
		}
		for _, h := range d.inventory(t).Hosts {
			s, problems := agatesettings.Load[agatesettings.Entry](agatesettings.Source{File: filepath.Join(d.dir, h.Name+".toml")})
			assert.Equal(t, len(problems), 0)
			addAddresses(d.dir+" "+h.Name, s.CallerAddr, s.PeerAddr, s.Admin)
		}
	}
}

func (d deployment) inventory(t *testing.T) *agateinventory.Inventory {
	t.Helper()
	file := filepath.Join(d.dir, "inventory.toml")
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	inv, problems := agateinventory.Parse(file, data)
	assert.Equal(t, len(problems), 0, problems.Error())
	return inv
}

type replica struct{ region, domain, host string }

// replicas returns five control hosts, placed 2-2-1 over three regions.
func (d deployment) replicas() []replica {
	list := make([]replica, 5)
	for i, at := range []struct {
		region int
		domain string
	}{{0, "a"}, {0, "b"}, {1, "a"}, {1, "b"}, {2, "a"}} {
		region := d.regions[at.region]
		list[i] = replica{region, region + "-" + at.domain, fmt.Sprintf("127.0.%d.%d", d.controlOctet, i+1)}
	}
	return list
}

func (d deployment) entryFile(h agateinventory.Host) string {
	var peers []string
	for _, r := range d.replicas() {
		peers = append(peers, fmt.Sprintf("%q", r.host+":9000"))
	}
	return fmt.Sprintf(`name = %q
region = %q
domain = %q
caller = %q
peer = %q
admin = "%s:8082"
replicas = [%s]

[tls]
insecure = true # for loopback only
`, h.Name, h.Region, h.Domain, h.CallerAddr, h.PeerAddr, h.CallerAddr.Addr(), strings.Join(peers, ", "))
}

func (d deployment) controlFile(i int) string {
	var members []string
	for j, r := range d.replicas() {
		members = append(members, fmt.Sprintf("  \"control-%d=%s:9000\",\n", j+1, r.host))
	}
	r := d.replicas()[i]
	return fmt.Sprintf(`name = "control-%d"
region = %q
domain = %q
data = "data/%s/control-%d"
peer = "%s:9000"
admin = "%s:9001"
members = [
%s]

[tls]
insecure = true # for loopback only
`, i+1, r.region, r.domain, d.dir, i+1, r.host, r.host, strings.Join(members, ""))
}

func compare(t *testing.T, file, want string) {
	t.Helper()
	if flag.Lookup("update").Value.String() == "true" {
		assert.NilError(t, os.WriteFile(file, []byte(want), 0o644))
	}
	got, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, file)
}
