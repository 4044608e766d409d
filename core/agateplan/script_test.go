package agateplan_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"agategate/core/agateplan"
)

// Guards against requests that are routed to the wrong service, and against
// invalid plans that pass Check. It runs the scripts testdata/*.txt.
//
// A script builds a plan with the lines "plan" (starts a new one), "version N",
// "service NAME", "host NAME" and "route PREFIX key=value..." (of the last host).
// It checks the plan with "match HOST PATH -> ROUTE", "pick ROUTE DRAW ->
// SERVICE" and "check -> TEXT; TEXT...", where each text must occur in the error
// of Check; without a text Check must return nil.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runScript(t, file) })
	}
}

func runScript(t *testing.T, file string) {
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	p := &agateplan.Plan{}
	for n, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		do, want, _ := strings.Cut(line, "->")
		words := strings.Fields(do)
		want = strings.TrimSpace(want)
		if len(words) == 0 {
			continue
		}
		at := file + ":" + strconv.Itoa(n+1)
		switch words[0] {
		case "plan":
			p = &agateplan.Plan{}
		case "version":
			p.Version, err = strconv.ParseUint(words[1], 10, 64)
			assert.NilError(t, err, at)
		case "service":
			p.Services = append(p.Services, agateplan.Service{Name: words[1]})
		case "host":
			p.VirtualHosts = append(p.VirtualHosts, agateplan.VirtualHost{Name: strings.Trim(words[1], `"`)})
		case "route":
			h := &p.VirtualHosts[len(p.VirtualHosts)-1]
			h.Routes = append(h.Routes, route(t, words[1:]))
		case "match":
			got := ""
			if r := agateplan.NewIndex(p).Match(words[1], words[2]); r != nil {
				got = r.Name
			}
			assert.Equal(t, got, want, at)
		case "pick":
			draw, err := strconv.ParseFloat(words[2], 64)
			assert.NilError(t, err, at)
			assert.Equal(t, findRoute(p, words[1]).Pick(draw), want, at)
		case "check":
			checkPlan(t, p, want, at)
		default:
			t.Fatalf("%s: unknown command %q", at, words[0])
		}
	}
}

func checkPlan(t *testing.T, p *agateplan.Plan, want, at string) {
	t.Helper()
	err := p.Check()
	if want == "" {
		assert.NilError(t, err, at)
		return
	}
	for _, text := range strings.Split(want, ";") {
		assert.ErrorContains(t, err, strings.TrimSpace(text), at)
	}
}

func findRoute(p *agateplan.Plan, name string) *agateplan.Route {
	for _, h := range p.VirtualHosts {
		for i := range h.Routes {
			if h.Routes[i].Name == name {
				return &h.Routes[i]
			}
		}
	}
	return nil
}

// route parses "PREFIX name=NAME to=SERVICE:WEIGHT,... attempts=N".
func route(t *testing.T, words []string) agateplan.Route {
	r := agateplan.Route{Prefix: words[0], MaxAttempts: 1}
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "name":
			r.Name = value
		case "attempts":
			n, err := strconv.Atoi(value)
			assert.NilError(t, err)
			r.MaxAttempts = n
		case "to":
			for _, part := range strings.Split(value, ",") {
				service, weight, _ := strings.Cut(part, ":")
				w, err := strconv.ParseFloat(weight, 64)
				assert.NilError(t, err)
				r.Services = append(r.Services, agateplan.WeightedService{Service: service, Weight: w})
			}
		}
	}
	return r
}

// Guards against a stored plan that differs from the submitted one.
func TestDocumentKeepsPlanAndSource(t *testing.T) {
	doc := &agateplan.Document{
		Plan: agateplan.Plan{
			Version:  7,
			Services: []agateplan.Service{{Name: "labels", MaxConnections: 330, WarmupRate: 11}},
			VirtualHosts: []agateplan.VirtualHost{{Name: "a.example", Routes: []agateplan.Route{{
				Name: "r", Prefix: "/x/", Kind: agateplan.Safe, Services: []agateplan.WeightedService{{Service: "labels", Weight: 1}},
				MaxAttempts: 2, Sticky: true, Regions: []string{"centro"},
			}}}},
		},
		Source: []byte("as it was sent"),
	}
	b, err := doc.Encode()
	assert.NilError(t, err)
	got, err := agateplan.DecodeDocument(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, doc)
	_, err = agateplan.DecodeDocument(b[:len(b)-1])
	assert.ErrorContains(t, err, "agateplan: decode")
}

// Guards against plans without workspaces that earlier builds would read differently:
// they have none of the keys that were added for workspaces.
func TestPlansWithoutWorkspacesKeepTheirEncoding(t *testing.T) {
	doc := &agateplan.Document{Plan: agateplan.Plan{
		Version:      7,
		VirtualHosts: []agateplan.VirtualHost{{Name: "a.example", Routes: []agateplan.Route{{Name: "r", Prefix: "/x/"}}}},
	}}
	b, err := doc.Encode()
	assert.NilError(t, err)
	var fields struct {
		Plan struct {
			Workspaces   any `cbor:"5,keyasint"`
			VirtualHosts []struct {
				Routes []map[int]any `cbor:"2,keyasint"`
			} `cbor:"3,keyasint"`
		} `cbor:"1,keyasint"`
	}
	assert.NilError(t, cbor.Unmarshal(b, &fields))
	assert.Assert(t, fields.Plan.Workspaces == nil)
	route := fields.Plan.VirtualHosts[0].Routes[0]
	assert.Equal(t, len(route), 10)
	assert.Assert(t, route[11] == nil)
}

// BenchmarkWorkspaceByKey measures the look-up of a key among 10,000 workspaces.
func BenchmarkWorkspaceByKey(b *testing.B) {
	p := &agateplan.Plan{}
	for i := range 10000 {
		p.Workspaces = append(p.Workspaces, agateplan.Workspace{Name: strconv.Itoa(i), Keys: []string{"urtyiikdrbn4ryrb" + strconv.Itoa(i)}})
	}
	x := agateplan.NewIndex(p)
	b.ReportAllocs()
	for b.Loop() {
		if x.WorkspaceByKey("urtyiikdrbn4ryrb5000") == nil {
			b.Fatal("key not found")
		}
	}
}
