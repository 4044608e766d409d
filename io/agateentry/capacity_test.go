package agateentry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"agategate/core/agateroute"
	"agategate/io/agatewire"
)

// announcement is that of one of n upstreams of three services in three
// regions.
func announcement(n int, sequence uint64) agateroute.Announcement {
	return agateroute.Announcement{
		ID:          agateroute.UpstreamID(fmt.Sprintf("upstream-%d", n)),
		Incarnation: 1,
		Sequence:    sequence,
		Service:     fmt.Sprintf("service-%d", n%3),
		Region:      fmt.Sprintf("region-%d", n/3%3),
		Domain:      "a",
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
		Slots:       3,
		Connections: 330,
	}
}

// BenchmarkExchange gives the work of both ends and the bytes of one exchange
// between entry hosts against the number of upstreams, for docs/CAPACITY.md.
// One request is in flight at each upstream, and each announces once in five
// exchanges.
func BenchmarkExchange(b *testing.B) {
	for _, upstreams := range []int{36, 360, 2100} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			now := time.Now()
			near := agateroute.New(agateroute.Config{Host: "near", Region: "region-0"})
			far := agateroute.New(agateroute.Config{Host: "far", Region: "region-0"})
			for n := range upstreams {
				assert.Equal(b, near.Announce(now, announcement(n, 1)), agateroute.Accepted)
				near.Start(now, announcement(n, 1).ID)
			}
			known := uint64(0)
			bytes, rounds := 0, 0
			for b.Loop() {
				now = now.Add(exchangeEvery)
				rounds++
				for n := rounds % 5; n < upstreams; n += 5 {
					near.Announce(now, announcement(n, uint64(1+rounds)))
				}
				out := near.Export(now, known)
				known = out.Version
				ask := toWireExchange(&out)
				ask.Sender = &agatewire.Sender{Host: "near", Epoch: 1, Revision: 7}
				data, err := proto.Marshal(ask)
				assert.NilError(b, err)
				bytes += len(data)
				var back agatewire.ExchangeAsk
				assert.NilError(b, proto.Unmarshal(data, &back))
				far.Merge(now, fromWireExchange(&back))
			}
			b.ReportMetric(float64(bytes)/float64(rounds), "bytes")
		})
	}
}
