package agatelink

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"
)

// transport is a client that can stop in the middle of a message.
type transport struct {
	conn   net.Conn
	framer *http2.Framer
	ended  chan struct{} // closed when the server has closed the connection
}

func newTransport(t *testing.T, addr netip.AddrPort) *transport {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it
	c := &transport{conn: conn, framer: http2.NewFramer(conn, conn), ended: make(chan struct{})}
	_, err = io.WriteString(conn, http2.ClientPreface)
	assert.NilError(t, err)
	assert.NilError(t, c.framer.WriteSettings())
	var head bytes.Buffer
	enc := hpack.NewEncoder(&head)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/agategate.wire.Peer/Forward"}, {":authority", "test"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		assert.NilError(t, enc.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}))
	}
	assert.NilError(t, c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head.Bytes(), EndHeaders: true}))
	return c
}

// send sends the first bytes of a message of a certain size as fast as the server allows,
// and goes on to read until the server closes the connection.
func (c *transport) send(t *testing.T, size uint32, bytes int) {
	t.Helper()
	allowed := map[uint32]int{0: 65535, 1: 65535}
	data := binary.BigEndian.AppendUint32([]byte{0}, size)
	for bytes > 0 {
		if n := min(allowed[0], allowed[1], 16<<10); n >= len(data) {
			assert.NilError(t, c.framer.WriteData(1, false, data))
			allowed[0] -= len(data)
			allowed[1] -= len(data)
			data = make([]byte, min(bytes, 16<<10))
			bytes -= len(data)
			continue
		}
		c.readFrame(t, allowed)
	}
	go func() {
		defer close(c.ended)
		_, _ = io.Copy(io.Discard, c.conn) // ends with the connection
	}()
}

func (c *transport) readFrame(t *testing.T, allowed map[uint32]int) {
	t.Helper()
	frame, err := c.framer.ReadFrame()
	assert.NilError(t, err)
	switch f := frame.(type) {
	case *http2.WindowUpdateFrame:
		allowed[f.StreamID] += int(f.Increment)
	case *http2.PingFrame:
		if !f.IsAck() {
			assert.NilError(t, c.framer.WritePing(true, f.Data))
		}
	case *http2.SettingsFrame:
		if !f.IsAck() {
			assert.NilError(t, c.framer.WriteSettingsAck())
		}
	}
}
