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

// announcement returns the announcement of upstream n. Upstreams are spread over
// three services and three regions.
func announcement(n int, sequence uint64) agateroute.Announcement {
	return agateroute.Announcement{
		ID:             agateroute.UpstreamID(fmt.Sprintf("upstream-%d", n)),
		Incarnation:    1,
		Sequence:       sequence,
		Service:        fmt.Sprintf("service-%d", n%3),
		Region:         fmt.Sprintf("region-%d", n/3%3),
		Domain:         "a",
		Address:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
		Slots:          3,
		MaxConnections: 330,
	}
}

// BenchmarkExchange measures the CPU time of both ends and the bytes of one
// exchange between entry hosts for several numbers of upstreams. docs/CAPACITY.md
// has the results. One request is in flight at each upstream, and each upstream
// announces itself once in five exchanges.
func BenchmarkExchange(b *testing.B) {
	for _, upstreams := range []int{36, 360, 2100} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			now := time.Now()
			sender := agateroute.New(agateroute.Config{Host: "near", Region: "region-0"})
			receiver := agateroute.New(agateroute.Config{Host: "far", Region: "region-0"})
			for n := range upstreams {
				assert.Equal(b, sender.Announce(now, announcement(n, 1)), agateroute.Accepted)
				sender.Start(now, announcement(n, 1).ID)
			}
			acked := uint64(0)
			bytes, rounds := 0, 0
			for b.Loop() {
				now = now.Add(exchangeInterval)
				rounds++
				for n := rounds % 5; n < upstreams; n += 5 {
					sender.Announce(now, announcement(n, uint64(1+rounds)))
				}
				out := sender.Export(now, acked)
				acked = out.Version
				req := toWireExchange(&out)
				req.Sender = &agatewire.Sender{Host: "near", Epoch: 1, Revision: 7}
				data, err := proto.Marshal(req)
				assert.NilError(b, err)
				bytes += len(data)
				var decoded agatewire.ExchangeAsk
				assert.NilError(b, proto.Unmarshal(data, &decoded))
				receiver.Merge(now, fromWireExchange(&decoded))
			}
			b.ReportMetric(float64(bytes)/float64(rounds), "bytes")
		})
	}
}
