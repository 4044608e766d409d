package agateinventory_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agateinventory"
)

// TestMain sets a fixed default seed for the generated inventories.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// Guards against invalid documents that are accepted, and against problems that
// are missing or reported at the wrong line.
func TestParseRefuses(t *testing.T) {
	for _, file := range glob(t, "testdata/bad/*.txtar") {
		t.Run(filepath.Base(file), func(t *testing.T) {
			ar, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			inv, problems := agateinventory.Parse("inventory.toml", ar.Files[0].Data)
			assert.Assert(t, inv == nil)
			got := problems.Error() + "\n"
			if flag.Lookup("update").Value.String() == "true" {
				ar.Files[1].Data = []byte(got)
				assert.NilError(t, os.WriteFile(file, txtar.Format(ar), 0o644))
			}
			assert.Equal(t, got, string(ar.Files[1].Data))
		})
	}
}

// Guards against loss or change of data when a valid document is formatted.
func TestFormatRoundTrip(t *testing.T) {
	for _, file := range glob(t, "testdata/good/*.toml") {
		checkRoundTrip(t, mustParse(t, read(t, file)))
	}
}

// Guards against wrong defaults of keys that the document does not set, and
// against wrong classes and regions in a parsed inventory.
func TestParseDefaults(t *testing.T) {
	inv := mustParse(t, read(t, "testdata/good/full.toml"))
	assert.Equal(t, inv.Services[0].Deadline, 1500*time.Millisecond)
	assert.Equal(t, inv.Services[1].Deadline, agateinventory.DefaultDeadline)
	assert.Equal(t, inv.Drains[0].Share, 1.0)
	assert.Equal(t, inv.Service("labels").Classify("GET", "/labels/3"), agateinventory.Read)
	assert.Equal(t, inv.Service("labels").Classify("POST", "/labels"), agateinventory.Action)
	assert.Equal(t, inv.Service("quotes").Classify("GET", "/"), agateinventory.Action)
	region, _ := inv.RegionOf(netip.MustParseAddr("10.1.2.3"))
	assert.Equal(t, region, "oriente")
	minimal := mustParse(t, read(t, "testdata/good/minimal.toml"))
	assert.Equal(t, minimal.TargetUtilization, agateinventory.DefaultTargetUtilization)
	assert.Equal(t, minimal.MaxEjectedShare, agateinventory.DefaultMaxEjectedShare)
}

// Guards against parsing documents above the size limit.
func TestParseRefusesLargeDocument(t *testing.T) {
	_, problems := agateinventory.Parse("f", make([]byte, agateinventory.MaxDocumentBytes+1))
	assert.Equal(t, len(problems), 1)
}

// Guards against quadratic run time for documents near the size limit.
func TestParseLargeDocument(t *testing.T) {
	var b strings.Builder
	b.Write(read(t, "testdata/good/minimal.toml"))
	for i := range 60_000 {
		fmt.Fprintf(&b, "[[block]]\nprefix = \"10.%d.%d.0/24\"\nregion = \"centro\"\n", i/256, i%256)
	}
	start := time.Now()
	inv := mustParse(t, []byte(b.String()))
	assert.Equal(t, len(inv.Blocks), 60_000)
	assert.Assert(t, time.Since(start) < 10*time.Second)
}

// Guards against quadratic run time for long lists of operations, which must be
// rejected because each operation is compared with all others.
func TestParseManyOperations(t *testing.T) {
	var b strings.Builder
	b.WriteString("region = [{ name = \"centro\", domains = [\"a\"] }]\n[[service]]\nname = \"s\"\nregions = [\"centro\"]\nreads = [")
	for i := range 250_000 {
		fmt.Fprintf(&b, "\"GET /%d\",", i)
	}
	b.WriteString("]\n")
	start := time.Now()
	_, problems := agateinventory.Parse("f", []byte(b.String()))
	assert.Equal(t, len(problems), 1)
	assert.Assert(t, time.Since(start) < 10*time.Second)
}

// Guards against loss of the operator's comments when a drain is added or
// removed.
func TestDrainKeepsText(t *testing.T) {
	doc := read(t, "testdata/good/full.toml")
	d := agateinventory.Drain{Kind: agateinventory.DrainRegion, Name: "centro", Share: 0.25}
	drained, problems := agateinventory.SetDrain("f", doc, d)
	assert.Equal(t, len(problems), 0)
	assert.Assert(t, strings.HasPrefix(string(drained), string(doc)))
	assert.DeepEqual(t, mustParse(t, drained).Drains[2], d)
	cleared, problems := agateinventory.ClearDrain("f", drained, d.Kind, d.Name)
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, strings.TrimSpace(string(cleared)), strings.TrimSpace(string(doc)))
	cleared, _ = agateinventory.ClearDrain("f", doc, agateinventory.DrainUpstream, "labels-4")
	assert.Assert(t, strings.Contains(string(cleared), "# Planned upgrade"))
	assert.Equal(t, len(mustParse(t, cleared).Drains), 1)
}

// Guards against faults of SetDrain and ClearDrain on documents that cannot be
// edited as text, such as those with inline tables.
func TestDrainOfInlineTables(t *testing.T) {
	doc := []byte("drain = [{ kind = \"region\", name = \"centro\" }]\n" + string(read(t, "testdata/good/minimal.toml")))
	got, problems := agateinventory.ClearDrain("f", doc, agateinventory.DrainRegion, "centro")
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, len(mustParse(t, got).Drains), 0)
	d := agateinventory.Drain{Kind: agateinventory.DrainDomain, Name: "centro-a", Share: 1}
	got, problems = agateinventory.SetDrain("f", doc, d)
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, len(mustParse(t, got).Drains), 2)
	d.Name = "unknown"
	_, problems = agateinventory.SetDrain("f", doc, d)
	assert.Assert(t, len(problems) > 0)
}

// Guards against names and numbers that formatting changes.
func TestFormatGenerated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inv, problems := agateinventory.Parse("f", agateinventory.Format(drawInventory(t)))
		if len(problems) == 0 {
			checkRoundTrip(t, inv)
		}
	})
}

func drawInventory(t *rapid.T) *agateinventory.Inventory {
	word := rapid.StringMatching(`[a-c]{1,2}`)
	share := rapid.Float64Range(0.001, 1)
	inv := &agateinventory.Inventory{TargetUtilization: share.Draw(t, "target"), MaxEjectedShare: 0.5}
	inv.RetiredUpstreams = rapid.SliceOfNDistinct(rapid.StringMatching("[!-~]{1,5}"), 0, 3, rapid.ID).Draw(t, "retire")
	inv.Regions = []agateinventory.Region{{Name: "a", Domains: []string{word.Draw(t, "domain")}}, {Name: "b", Domains: []string{"z"}}}
	for range rapid.IntRange(0, 2).Draw(t, "services") {
		inv.Services = append(inv.Services, agateinventory.Service{
			Name: word.Draw(t, "service"), Regions: []string{"a", "b"},
			Reads:    []agateinventory.Operation{{Method: "GET", Path: "/" + rapid.StringMatching(`[!-~é]{0,5}`).Draw(t, "path")}},
			Deadline: time.Duration(rapid.Int64Range(1e6, 6e11).Draw(t, "deadline")),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "shifts") {
		inv.Shifts = append(inv.Shifts, agateinventory.Shift{
			Service: word.Draw(t, "service"), From: "a", To: "b", Allow: rapid.Bool().Draw(t, "allow"),
			MaxRequestRate: rapid.Float64Range(0, 1e300).Draw(t, "requests"), MaxByteRate: rapid.Float64Range(1e-300, 1e20).Draw(t, "bytes"),
		})
	}
	inv.Drains = []agateinventory.Drain{{Kind: "upstream", Name: rapid.StringMatching("[!-~]{1,5}").Draw(t, "drain"), Share: share.Draw(t, "share")}}
	return inv
}

// FuzzParse guards against panics, and against valid documents that formatting
// changes.
func FuzzParse(f *testing.F) {
	for _, file := range append(glob(f, "testdata/good/*.toml"), glob(f, "testdata/bad/*.txtar")...) {
		f.Add(read(f, file))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, problems := agateinventory.Parse("f", data)
		assert.Equal(t, inv == nil, len(problems) > 0)
		if inv != nil {
			checkRoundTrip(t, inv)
		}
	})
}

type testingT interface {
	assert.TestingT
	Helper()
}

func checkRoundTrip(t testingT, inv *agateinventory.Inventory) {
	t.Helper()
	again, problems := agateinventory.Parse("again", agateinventory.Format(inv))
	assert.Equal(t, len(problems), 0, problems.Error())
	assert.Assert(t, reflect.DeepEqual(again, inv), "%+v\n%+v", again, inv)
}

func mustParse(t testingT, data []byte) *agateinventory.Inventory {
	t.Helper()
	inv, problems := agateinventory.Parse("inventory.toml", data)
	assert.Equal(t, len(problems), 0, problems.Error())
	return inv
}

func read(t testingT, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	return data
}

func glob(t testingT, pattern string) []string {
	t.Helper()
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	return files
}
