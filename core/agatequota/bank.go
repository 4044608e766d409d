package agatequota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPart is the least capacity of a bank, in tokens. A limit of which each of all
	// banks would have less is divided among fewer, but among minBanks while each has
	// leastPart, so that it outlives the loss of two replicas.
	minPart   = 4.0
	minBanks  = 3
	leastPart = 2.0
	// aheadShare is the part of what a bank has left that one host may get beyond what
	// it needs now.
	aheadShare = 0.25
	// unknownWait is the time after which a host asks again about a workspace that this
	// bank does not know yet.
	unknownWait = 200 * time.Millisecond
	// expiryInterval is how often expired leases are looked for, and deniedPeriod for how
	// long a host that was denied a token counts among those that share them.
	expiryInterval = 100 * time.Millisecond
	deniedPeriod   = time.Second
	// crowd is the number of denied hosts up to which the next token may be for any of
	// them. With more, each is told to ask when its turn comes, and not before crowdWait:
	// it can then tell that no bank has tokens, and asks are bounded.
	crowd     = 4
	crowdWait = maxRefusal
)

// BankConfig configures a Bank.
type BankConfig struct {
	// Replica identifies the bank among the replicas of Configure.
	Replica   uint64
	Tolerance Tolerance
}

// Bank lends tokens of the limits of workspaces. It is not safe for concurrent use.
type Bank struct {
	cfg      BankConfig
	accounts map[string]*account
}

// account is a bank's part of the limit of one workspace.
type account struct {
	limit     Limit
	share     float64 // of the limit, 0 to 1
	createdAt time.Duration
	// level is the number of tokens that the bank has, and outstanding of those that it
	// has lent and that may still be spent.
	level       float64
	outstanding int
	updatedAt   time.Duration
	leases      map[string]*lease // by host
	expireAt    time.Duration     // when expired leases are looked for next
	// deniedAt is when each host last needed a token that the bank did not have.
	deniedAt map[string]time.Duration
}

// lease is what a host has of an account.
type lease struct {
	tokens int
	until  time.Duration
}

// NewBank returns a bank without accounts.
func NewBank(cfg BankConfig) *Bank {
	return &Bank{cfg: cfg, accounts: map[string]*account{}}
}

// Configure sets the limits of all workspaces and the replicas that have banks, which
// include this one. New accounts start without tokens, and until LeaseTime has passed,
// tokens that were lent before, by an earlier process of the replica, may be in use.
func (b *Bank) Configure(now time.Duration, limits []Limit, replicas []uint64) {
	accounts := make(map[string]*account, len(limits))
	for _, l := range limits {
		a := b.accounts[l.Workspace]
		if a == nil {
			a = &account{createdAt: now, updatedAt: now, leases: map[string]*lease{}, deniedAt: map[string]time.Duration{}}
		}
		b.settle(now, a)
		a.limit = l
		a.share = b.share(l, replicas)
		accounts[l.Workspace] = a
	}
	b.accounts = accounts
}

// share is this bank's share of a limit: an equal part of it, or none if the limit is
// too small for all banks and others have it.
func (b *Bank) share(l Limit, replicas []uint64) float64 {
	if len(replicas) == 0 {
		return 0
	}
	capacity := b.cfg.Tolerance.capacity(l)
	parts := int(max(1, capacity/minPart, min(minBanks, capacity/leastPart)))
	parts = min(parts, len(replicas))
	own := replicaScore(l.Workspace, b.cfg.Replica)
	rank := 0
	for _, id := range replicas {
		if replicaScore(l.Workspace, id) < own {
			rank++
		}
	}
	if rank >= parts || !slices.Contains(replicas, b.cfg.Replica) {
		return 0
	}
	return 1 / float64(parts)
}

// replicaScore orders the replicas for a workspace, alike at all of them.
func replicaScore(workspace string, id uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(id)
	_, _ = d.WriteString(workspace) // a Digest never returns an error
	return d.Sum64()
}

// maxLevel is the number of tokens that an account may have now.
func (b *Bank) maxLevel(now time.Duration, a *account) float64 {
	capacity := b.cfg.Tolerance.capacity(a.limit)
	if now-a.createdAt < LeaseTime {
		capacity = b.cfg.Tolerance.restartCapacity(a.limit)
	}
	return max(0, a.share*capacity-float64(a.outstanding))
}

// settle collects the tokens since the last call and ends expired leases.
func (b *Bank) settle(now time.Duration, a *account) {
	if now >= a.expireAt {
		for host, l := range a.leases {
			if now >= l.until {
				a.outstanding -= l.tokens
				delete(a.leases, host)
			}
		}
		maps.DeleteFunc(a.deniedAt, func(_ string, at time.Duration) bool { return now-at > deniedPeriod })
		a.expireAt = now + expiryInterval
	}
	elapsed := max(0, now-a.updatedAt)
	a.updatedAt = max(a.updatedAt, now)
	a.level = min(a.level+a.share*b.cfg.Tolerance.refill(a.limit)*elapsed.Seconds(), b.maxLevel(now, a))
}

// Lend answers a host's ask about one workspace.
func (b *Bank) Lend(now time.Duration, host string, ask Ask) Grant {
	a := b.accounts[ask.Workspace]
	g := Grant{Workspace: ask.Workspace}
	switch {
	case a == nil:
		return UnknownGrant(ask)
	case a.limit.Rate <= 0:
		g.Unlimited = true
		return g
	}
	b.settle(now, a)
	l := a.leases[host]
	if l != nil {
		a.takeBack(l, ask)
	}
	need := max(0, ask.Need)
	g.Tokens = min(need, int(a.level))
	if ahead := min(ask.Want-need, int(aheadShare*(a.level-float64(g.Tokens)))); g.Tokens == need && ahead > 0 {
		g.Tokens += ahead
	}
	if g.Tokens > 0 {
		if l == nil {
			l = &lease{}
			a.leases[host] = l
		}
		l.tokens += g.Tokens
		l.until = now + LeaseTime
		a.level -= float64(g.Tokens)
		a.outstanding += g.Tokens
	}
	if g.Tokens < need {
		a.deniedAt[host] = now
		refill := b.cfg.Tolerance.refill(a.limit)
		g.Wait = MaxWait
		if a.share > 0 {
			g.Wait = max(time.Millisecond, seconds(max(0, 1-a.level)/(a.share*refill)))
		}
		g.Pace = seconds(float64(len(a.deniedAt)) / refill)
		if len(a.deniedAt) > crowd {
			g.Wait = max(g.Wait, g.Pace, crowdWait)
		}
	}
	return g
}

// UnknownGrant answers an ask for a bank that does not know the limit in force.
func UnknownGrant(ask Ask) Grant {
	return Grant{Workspace: ask.Workspace, Unknown: true, Wait: unknownWait}
}

// takeBack records the tokens of a lease that the host has spent or gives back.
func (a *account) takeBack(l *lease, ask Ask) {
	spent := min(max(0, ask.Spent), l.tokens)
	returned := min(max(0, ask.Returned), l.tokens-spent)
	l.tokens -= spent + returned
	a.outstanding -= spent + returned
	a.level += float64(returned)
}

// AccountStatus describes an account to operators.
type AccountStatus struct {
	Limit       Limit
	Level       float64
	Outstanding int
}

// Status returns the accounts with a limit, sorted by workspace.
func (b *Bank) Status(now time.Duration) []AccountStatus {
	var out []AccountStatus
	for _, a := range b.accounts {
		if a.limit.Rate > 0 {
			b.settle(now, a)
			out = append(out, AccountStatus{Limit: a.limit, Level: a.level, Outstanding: a.outstanding})
		}
	}
	slices.SortFunc(out, func(x, y AccountStatus) int {
		if x.Limit.Workspace < y.Limit.Workspace {
			return -1
		}
		return 1
	})
	return out
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, MaxWait.Seconds()) * float64(time.Second))
}
