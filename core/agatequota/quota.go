// Package agatequota enforces the rate limits of workspaces over all entry hosts
// together. Banks, one at each control replica, collect the tokens of each limit and
// lend them to entry hosts, where a Holder spends one for each request.
//
// Each bank has its part of each limit and decides alone, so that no failure of
// another replica stops it. For each bank, the tokens that it has and those that it
// has lent and that may still be spent never exceed its part of the limit's capacity.
// In any window of time, hosts can thus spend no more than the capacity and what was
// collected meanwhile, whatever happens to hosts, replicas and links.
//
// Times are readings of a clock that goes on while a host is suspended: a Holder must
// stop using a token before its Bank counts it as expired.
//
// # Usage
//
//	bank := agatequota.NewBank(agatequota.BankConfig{Replica: 1, Tolerance: tolerance})
//	bank.Configure(now, limits, replicas)
//	grant := bank.Lend(now, "entry-1", ask)
//
//	holder := agatequota.NewHolder()
//	holder.SetBanks(now, []string{"control-1", "control-2"})
//	holder.Take(now, &ticket) // calls ticket.Decided now or after a later Apply
//	asks := holder.Asks(now, "control-1")
//	holder.Apply(now, "control-1", askedAt, grants)
package agatequota

import "time"

const (
	// LeaseTime is how long a host may use a token that it was lent. It covers the time
	// without a leader or a link in which hosts spend what they hold.
	LeaseTime = 2 * time.Second
	// MaxWait is the longest time after which a refused request is asked to return.
	MaxWait = 5 * time.Second
)

// Limit is the limit of one workspace. A rate of zero means that there is none.
type Limit struct {
	Workspace string
	Rate      float64 // requests per second
	Burst     float64 // requests at once beyond the rate
}

// Tolerance is by how much the requests of a workspace in any window may exceed its
// limit for that time, which is rate x window + burst.
type Tolerance struct {
	Window time.Duration // the default is 5 s
	// Overshoot is relative to the limit, Slack a number of requests in addition.
	Overshoot, Slack float64
}

const defaultWindow = 5 * time.Second

func (t Tolerance) window() time.Duration {
	if t.Window <= 0 {
		return defaultWindow
	}
	return t.Window
}

// excess is the number of requests by which a limit may be exceeded in a window.
func (t Tolerance) excess(l Limit) float64 {
	return t.Overshoot*(l.Rate*t.window().Seconds()+l.Burst) + t.Slack
}

// A limit allows rate x window + burst in any window, also in each of many that follow
// each other. Tokens are therefore collected faster than at its rate: half of the burst is
// there at once, the other half is spread over the window. A quarter of the tolerance adds
// to what is there at once, a quarter is for banks that restart, and a half is spread.

// capacity is the number of tokens that may be there at once, at banks and hosts.
func (t Tolerance) capacity(l Limit) float64 { return max(1, l.Burst/2+t.excess(l)/4) }

// restartCapacity is the number of tokens that may be there besides, at and from banks
// whose earlier processes may have lent all others.
func (t Tolerance) restartCapacity(l Limit) float64 { return t.excess(l) / 4 }

// refill is the number of tokens collected per second.
func (t Tolerance) refill(l Limit) float64 {
	return l.Rate + (l.Burst/2+t.excess(l)/2)/t.window().Seconds()
}

// Ask is what a host tells a bank about a workspace: the tokens that waiting requests
// need, those that it wants in all, and of those that the bank has lent, the ones that
// it has spent and gives back since it last told.
type Ask struct {
	Workspace       string
	Need, Want      int
	Spent, Returned int
}

// Grant is the answer to an Ask.
type Grant struct {
	Workspace string
	Tokens    int
	// Unlimited means that the workspace has no limit.
	Unlimited bool
	// Unknown means that the bank cannot tell whether the limit is reached.
	Unknown bool
	// Wait is the time after which the bank has a token again, if it had too few, and Pace
	// the time between two tokens for one host while all that lack some get the same
	// part of what all banks collect.
	Wait, Pace time.Duration
}
