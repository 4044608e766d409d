package agatelink

import (
	"context"
	"encoding/binary"
	"math/rand"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"gotest.tools/v3/assert"

	"agategate/internal/agatebuffer"
	"agategate/io/agatewire"
)

// echoPeer replies with the body of each call.
type echoPeer struct {
	agatewire.UnimplementedPeerServer
	// called is called within each call, if set.
	called func(req *agatewire.ForwardAsk)
}

func (p *echoPeer) Forward(_ context.Context, req *agatewire.ForwardAsk) (*agatewire.ForwardReply, error) {
	if p.called != nil {
		p.called(req)
	}
	return &agatewire.ForwardReply{Body: req.Body}, nil
}

func startEcho(t *testing.T, account *agatebuffer.Account, peer *echoPeer) netip.AddrPort {
	t.Helper()
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0)
	assert.NilError(t, err)
	server := NewServer(ServerConfig{Account: account})
	agatewire.RegisterPeerServer(server, peer)
	go func() { _ = server.Serve(ln) }() // ends with Stop
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(ln.Addr().String())
}

// awaitUsage waits until as many bytes are charged.
func awaitUsage(t *testing.T, account *agatebuffer.Account, want int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		used, _ := account.Usage()
		if used == want {
			return
		}
		assert.Assert(t, time.Now().Before(end), "%d bytes are charged instead of %d", used, want)
	}
}

// Guards against messages that are not charged while they are handled, and against bytes
// that stay charged when calls and connections have ended, which would slowly close the
// account.
func TestMessagesAreCharged(t *testing.T) {
	account := agatebuffer.New(agatebuffer.Config{})
	peer := &echoPeer{called: func(req *agatewire.ForwardAsk) {
		if used, _ := account.Usage(); used < int64(len(req.Body)) {
			t.Errorf("%d bytes are charged for a message of %d", used, len(req.Body))
		}
	}}
	addr := startEcho(t, account, peer)
	d := NewDialer(Config{})
	conn, err := d.Conn(addr)
	assert.NilError(t, err)
	client := agatewire.NewPeerClient(conn)
	random := rand.New(rand.NewSource(1))
	var calls sync.WaitGroup
	for range 100 {
		body := make([]byte, random.Intn(300<<10))
		calls.Go(func() {
			r, err := client.Forward(t.Context(), &agatewire.ForwardAsk{Body: body})
			if err != nil || len(r.Body) != len(body) {
				t.Errorf("a message of %d bytes: %d, %v", len(body), len(r.GetBody()), err)
			}
		})
	}
	calls.Wait()
	awaitUsage(t, account, 0)
	canceled, cancel := context.WithCancel(t.Context())
	peer.called = func(*agatewire.ForwardAsk) { cancel() }
	_, err = client.Forward(canceled, &agatewire.ForwardAsk{Body: make([]byte, 100<<10)})
	assert.Assert(t, err != nil)
	awaitUsage(t, account, 0)
	d.Close()
	awaitUsage(t, account, 0)
}

// Guards against a process that closes the connections of others for one that holds too
// much: the largest one is closed, and messages of others are received.
func TestLargestConnectionIsClosed(t *testing.T) {
	account := agatebuffer.New(agatebuffer.Config{Bytes: 4 << 20, Holders: 4})
	addr := startEcho(t, account, &echoPeer{})
	stalled := newTransport(t, addr)
	stalled.send(t, 8<<20, 3<<20)
	d := NewDialer(Config{})
	defer d.Close()
	conn, err := d.Conn(addr)
	assert.NilError(t, err)
	_, err = agatewire.NewPeerClient(conn).Forward(t.Context(), &agatewire.ForwardAsk{Body: make([]byte, 2<<20)})
	assert.NilError(t, err)
	<-stalled.ended
	awaitUsage(t, account, 0)
}

// Guards against frames that are counted wrongly where a read ends inside their header or
// data.
func TestFrameScanner(t *testing.T) {
	var b []byte
	frame := func(kind byte, stream uint32, payload string) {
		size := len(payload)
		b = append(b, byte(size>>16), byte(size>>8), byte(size), kind, 0)
		b = binary.BigEndian.AppendUint32(b, stream|1<<31) // the reserved bit is ignored
		b = append(b, payload...)
	}
	b = append(b, http2Preface...)
	frame(byte(http2.FrameSettings), 0, "settings")
	frame(byte(http2.FrameHeaders), 1, "headers")
	frame(byte(http2.FrameData), 1, "first ")
	frame(byte(http2.FrameData), 3, "")
	frame(byte(http2.FrameData), 1, "second")
	for step := 1; step <= len(b); step++ {
		var frames []byte
		var data string
		s := frameScanner{
			skip:  len(http2Preface),
			frame: func(kind, _ byte, stream uint32) { frames = append(frames, kind, byte(stream)) },
			data:  func(_ uint32, b []byte) { data += string(b) },
		}
		for rest := b; len(rest) > 0; {
			n := min(step, len(rest))
			s.scan(rest[:n])
			rest = rest[n:]
		}
		assert.DeepEqual(t, frames, []byte{4, 0, 1, 1, 0, 1, 0, 3, 0, 1})
		assert.Equal(t, data, "first second")
	}
}
