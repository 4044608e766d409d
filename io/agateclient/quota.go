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
		Wait: int64(math.Ceil(float64(g.Wait) / float64(time.Millisecond))),
	}
}

// FromWireGrants converts the answers of a bank.
func FromWireGrants(rows []*agatewire.QuotaGrant) []agatequota.Grant {
	var out []agatequota.Grant
	for _, row := range rows {
		wait := min(max(0, row.Wait), agatequota.MaxWait.Milliseconds())
		out = append(out, agatequota.Grant{
			Workspace: row.Workspace, Tokens: fromCount(row.Tokens), Unlimited: row.Unlimited, Unknown: row.Unknown,
			Wait: time.Duration(wait) * time.Millisecond,
		})
	}
	return out
}

// maxCount bounds the numbers of tokens in messages.
const maxCount = math.MaxInt32

func toCount(n int) uint32 { return uint32(min(max(0, n), maxCount)) }

func fromCount(n uint32) int { return int(min(n, maxCount)) }
