package agateupstream

import "github.com/cespare/xxhash/v2"

// maxRecentIDs is the number of refused requests that a connection remembers. A second
// copy of a response follows soon after the first one.
const maxRecentIDs = 8

// recentIDs holds the hashes of the ids of the last requests that were refused on a
// connection. The zero value is ready to use.
type recentIDs struct {
	hashes [maxRecentIDs]uint64
	next   int
}

func (r *recentIDs) add(id string) {
	r.hashes[r.next] = xxhash.Sum64String(id)
	r.next = (r.next + 1) % maxRecentIDs
}

// contains reports whether a request with the id was refused recently.
func (r *recentIDs) contains(id string) bool {
	hash := xxhash.Sum64String(id)
	for _, h := range r.hashes {
		if h == hash {
			return true
		}
	}
	return false
}
