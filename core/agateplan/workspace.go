package agateplan

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
)

// Workspace is a customer of the deployment with a priority, a limit and regions of its
// own. Its callers identify themselves by a key.
type Workspace struct {
	Name string `cbor:"1,keyasint"`
	// Keys are the secrets of its callers. A workspace may have none.
	Keys []string `cbor:"2,keyasint,omitempty"`
	// Priority goes before the priority of routes; 0 is the highest.
	Priority int `cbor:"3,keyasint,omitempty"`
	// Rate is the number of requests per second that all hosts together accept from
	// the workspace, and Burst the number that they accept at once in addition. A rate
	// of zero means no limit.
	Rate  float64 `cbor:"4,keyasint,omitempty"`
	Burst float64 `cbor:"5,keyasint,omitempty"`
	// Regions are the regions in which its requests may be processed. Empty means all.
	Regions []string `cbor:"6,keyasint,omitempty"`
}

// AllowsRegion reports whether requests of the workspace may be processed in a region.
// A nil workspace, that of a public route, allows all.
func (w *Workspace) AllowsRegion(region string) bool {
	return w == nil || allowsRegion(w.Regions, region)
}

// Limited reports whether the workspace has a rate limit.
func (w *Workspace) Limited() bool { return w != nil && w.Rate > 0 }

func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// HomeRegions returns the regions in which a request may be processed if its route and
// its workspace, which may be nil, both bind. Empty means all. It reports false if no
// region is left.
func HomeRegions(r *Route, w *Workspace) (regions []string, ok bool) {
	switch {
	case w == nil || len(w.Regions) == 0:
		return r.Regions, true
	case len(r.Regions) == 0:
		return w.Regions, true
	}
	for _, region := range r.Regions {
		if slices.Contains(w.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

// checkWorkspaces reports problems of the workspaces. It never reports a key.
func (p *Plan) checkWorkspaces(report func(i int, key, text string)) {
	names := map[string]bool{}
	holders := map[string]string{}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		switch {
		case w.Name == "":
			report(i, "name", fmt.Sprintf("workspace %d has no name", i))
		case names[w.Name]:
			report(i, "name", fmt.Sprintf("workspace %q is listed twice", w.Name))
		}
		names[w.Name] = true
		if !(w.Rate >= 0) || math.IsInf(w.Rate, 0) { // negated to reject NaN too
			report(i, "rate", fmt.Sprintf("rate of workspace %q must be a number from 0", w.Name))
		}
		if !(w.Burst >= 0) || math.IsInf(w.Burst, 0) {
			report(i, "burst", fmt.Sprintf("burst of workspace %q must be a number from 0", w.Name))
		}
		for _, key := range w.Keys {
			holder, held := holders[key]
			switch {
			case key == "":
				report(i, "keys", fmt.Sprintf("workspace %q has an empty key", w.Name))
			case held && holder != w.Name:
				report(i, "keys", fmt.Sprintf("workspaces %q and %q share a key", holder, w.Name))
			}
			holders[key] = w.Name
		}
	}
}

// keyIndex finds the workspace that holds a key. It keeps seeded hashes of the keys, so
// that the time of a look-up tells nothing about other keys.
type keyIndex struct {
	seed    [sha256.Size]byte
	holders map[[sha256.Size]byte]*Workspace
}

func newKeyIndex(workspaces []Workspace) *keyIndex {
	x := &keyIndex{holders: map[[sha256.Size]byte]*Workspace{}}
	_, _ = rand.Read(x.seed[:]) // never fails
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			x.holders[x.hash(key)] = &workspaces[i]
		}
	}
	return x
}

// maxStackKey is the length of a key up to which hash does not allocate.
const maxStackKey = 64

func (x *keyIndex) hash(key string) [sha256.Size]byte {
	var buf [sha256.Size + maxStackKey]byte
	b := append(buf[:0], x.seed[:]...)
	return sha256.Sum256(append(b, key...))
}

func (x *keyIndex) find(key string) *Workspace {
	if key == "" {
		return nil
	}
	return x.holders[x.hash(key)]
}
