package agatequota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"agategate/core/agatequota"
)

// network connects banks and holders by messages with delays. Its steps take stepTime.
type network struct {
	rng       *rand.Rand
	now       time.Duration
	tolerance agatequota.Tolerance
	limits    []agatequota.Limit
	banks     []*testBank
	hosts     []*testHost
	messages  []message
	spent     map[string][]time.Duration // by workspace
	asked     map[string]int
	refused   map[string]int
	unknown   map[string]int
	latest    time.Duration // longest time until a verdict
	// refusedAfter are the times until the verdict of refused requests.
	refusedAfter []time.Duration
}

type testBank struct {
	id   uint64
	run  int
	bank *agatequota.Bank
	down time.Duration // until then nothing reaches it or leaves it
}

type testHost struct {
	name   string
	holder *agatequota.Holder
	frozen time.Duration
	cut    map[uint64]time.Duration // from a bank, until then
}

type message struct {
	at    time.Duration
	apply func()
}

const stepTime = 5 * time.Millisecond

// waitTime is how long a request waits for a token at most.
const waitTime = 600 * time.Millisecond

func newNetwork(seed uint64, banks, hosts int, limits []agatequota.Limit) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Minute, limits: limits,
		tolerance: agatequota.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
		spent:     map[string][]time.Duration{}, asked: map[string]int{}, refused: map[string]int{}, unknown: map[string]int{},
	}
	for i := range banks {
		n.banks = append(n.banks, &testBank{id: uint64(i + 1)})
	}
	for _, b := range n.banks {
		n.startBank(b)
	}
	for i := range hosts {
		n.hosts = append(n.hosts, &testHost{name: "entry-" + strconv.Itoa(i), cut: map[uint64]time.Duration{}})
		n.startHost(n.hosts[i])
	}
	return n
}

func (n *network) replicas() (ids []uint64) {
	for _, b := range n.banks {
		ids = append(ids, b.id)
	}
	return ids
}

func (n *network) startBank(b *testBank) {
	b.run++
	b.bank = agatequota.NewBank(agatequota.BankConfig{Replica: b.id, Tolerance: n.tolerance})
	b.bank.Configure(n.now, n.limits, n.replicas())
}

func (n *network) startHost(h *testHost) { h.holder = agatequota.NewHolder() }

func (n *network) setLimits(limits []agatequota.Limit) {
	n.limits = limits
	for _, b := range n.banks {
		b.bank.Configure(n.now, limits, n.replicas())
	}
}

// bankName names a run of a bank, as hosts do.
func (b *testBank) name() string { return fmt.Sprintf("%d-%d", b.id, b.run) }

func (n *network) send(h *testHost, bank string) {
	for _, b := range n.banks {
		if b.name() == bank {
			n.ask(h, b)
		}
	}
}

// ask sends a question and its answer, each after 1 to 5 ms, or 20 ms more to a bank that is
// far, unless one of both is cut
// off, frozen or down at either end of the way.
func (n *network) ask(h *testHost, b *testBank) {
	askedAt, holder, bank, run := n.now, h.holder, b.bank, b.run
	asks := holder.Asks(askedAt, b.name())
	if len(asks) == 0 {
		return
	}
	name := b.name()
	n.after(h, b, func() {
		if b.run != run || n.now < b.down {
			return
		}
		var grants []agatequota.Grant
		for _, a := range asks {
			grants = append(grants, bank.Lend(n.now, h.name, a))
		}
		n.after(h, b, func() {
			if h.holder == holder {
				n.sendAll(h, holder.Apply(n.now, name, askedAt, grants))
			}
		})
	})
}

func (n *network) after(h *testHost, b *testBank, apply func()) {
	if n.now < h.cut[b.id] {
		return
	}
	delay := time.Duration(1+n.rng.IntN(4)) * time.Millisecond
	if n.far(h, b) {
		delay += 20 * time.Millisecond
	}
	n.messages = append(n.messages, message{n.now + delay, func() {
		if n.now >= h.cut[b.id] {
			apply()
		}
	}})
}

// far reports whether a bank is not the nearest one of a host.
func (n *network) far(h *testHost, b *testBank) bool {
	return slices.Index(n.hosts, h)%len(n.banks) != slices.Index(n.banks, b)
}

func (n *network) sendAll(h *testHost, banks []string) {
	for _, bank := range banks {
		n.send(h, bank)
	}
}

// request counts one request of a workspace at a host.
func (n *network) request(h *testHost, workspace string) {
	askedAt, decided := n.now, false
	n.asked[workspace]++
	t := &agatequota.Ticket{Workspace: workspace, MaxHold: 300 * time.Millisecond}
	t.Decided = func(v agatequota.Verdict, _ time.Duration) {
		decided = true
		n.latest = max(n.latest, n.now-askedAt)
		switch v {
		case agatequota.Granted:
			n.spent[workspace] = append(n.spent[workspace], n.now)
		case agatequota.Limited:
			n.refused[workspace]++
			n.refusedAfter = append(n.refusedAfter, n.now-askedAt)
		default:
			n.unknown[workspace]++
		}
	}
	n.sendAll(h, h.holder.Take(n.now, t))
	if !decided {
		holder := h.holder
		n.messages = append(n.messages, message{n.now + waitTime, func() {
			if h.holder == holder && holder.Cancel(t) {
				n.unknown[workspace]++
			}
		}})
	}
}

// step moves the network on by stepTime; every half second each host reports to each bank.
func (n *network) step() {
	n.now += stepTime
	due := n.messages
	n.messages = nil
	for _, m := range due {
		if m.at > n.now {
			n.messages = append(n.messages, m)
		} else {
			m.apply()
		}
	}
	for i, h := range n.hosts {
		if n.now < h.frozen {
			continue
		}
		var order []string
		for j := range n.banks {
			if b := n.banks[(i+j)%len(n.banks)]; n.now >= b.down && n.now >= h.cut[b.id] {
				order = append(order, b.name())
			}
		}
		n.sendAll(h, h.holder.SetBanks(n.now, order))
		if (n.now/stepTime)%20 == time.Duration(i%20) {
			n.sendAll(h, h.holder.Tick(n.now))
		}
		if (n.now/stepTime)%100 == time.Duration(i%100) {
			for _, b := range n.banks {
				n.ask(h, b)
			}
		}
	}
}

// worstWindow returns the largest number of tokens spent in a window, and what is allowed.
func (n *network) worstWindow(l agatequota.Limit) (worst int, allowed float64) {
	times := n.spent[l.Workspace]
	slices.Sort(times)
	first := 0
	for i, at := range times {
		for at-times[first] >= n.tolerance.Window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	asked := l.Rate*n.tolerance.Window.Seconds() + l.Burst
	return worst, asked*(1+n.tolerance.Overshoot) + n.tolerance.Slack
}

// fail draws failures, on average four a second.
func (n *network) fail() {
	if n.rng.Float64() > 4*stepTime.Seconds() {
		return
	}
	h, b := n.hosts[n.rng.IntN(len(n.hosts))], n.banks[n.rng.IntN(len(n.banks))]
	until := n.now + time.Duration(n.rng.IntN(3000))*time.Millisecond
	switch n.rng.IntN(5) {
	case 0:
		h.frozen = until
	case 1:
		n.startHost(h)
	case 2:
		h.cut[b.id] = until
	case 3:
		b.down = until
	case 4:
		n.startBank(b)
	}
}

func (n *network) spend(workspace string, tokens int) {
	for range tokens {
		n.spent[workspace] = append(n.spent[workspace], n.now)
	}
}
