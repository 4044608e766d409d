package agateclient

import (
	"math"
	"time"

	"agategate/core/agatequota"
	"agategate/io/agatewire"
)

// ToWireAsks converts what a host tells and asks a bank.
func ToWireAsks(asks []agatequota.Ask) []*agatewire.QuotaAsk {
	var rows []*agatewire.QuotaAsk
	for _, a := range asks {
		rows = append(rows, &agatewire.QuotaAsk{
			Workspace: a.Workspace, Need: toCount(a.Need), Want: toCount(a.Want), Spent: toCount(a.Spent), Returned: toCount(a.Returned),
		})
	}
	return rows
}

// FromWireAsk converts one row of a host.
func FromWireAsk(row *agatewire.QuotaAsk) agatequota.Ask {
	return agatequota.Ask{
		Workspace: row.Workspace, Need: fromCount(row.Need), Want: fromCount(row.Want), Spent: fromCount(row.Spent), Returned: fromCount(row.Returned),
	}
}

// ToWireGrant converts one answer of a bank.
func ToWireGrant(g agatequota.Grant) *agatewire.QuotaGrant {
	return &agatewire.QuotaGrant{
		Workspace: g.Workspace, Tokens: toCount(g.Tokens), Unlimited: g.Unlimited, Unknown: g.Unknown,
		Wait: toMilliseconds(g.Wait), Pace: toMilliseconds(g.Pace),
	}
}

// FromWireGrants converts the answers of a bank.
func FromWireGrants(rows []*agatewire.QuotaGrant) []agatequota.Grant {
	var out []agatequota.Grant
	for _, row := range rows {
		out = append(out, agatequota.Grant{
			Workspace: row.Workspace, Tokens: fromCount(row.Tokens), Unlimited: row.Unlimited, Unknown: row.Unknown,
			Wait: fromMilliseconds(row.Wait), Pace: fromMilliseconds(row.Pace),
		})
	}
	return out
}

func toMilliseconds(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}

func fromMilliseconds(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), agatequota.MaxWait.Milliseconds())) * time.Millisecond
}

// maxCount bounds the numbers of tokens in messages.
const maxCount = math.MaxInt32

func toCount(n int) uint32 { return uint32(min(max(0, n), maxCount)) }

func fromCount(n uint32) int { return int(min(n, maxCount)) }
