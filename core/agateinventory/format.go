package agateinventory

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Format returns an inventory as a document. For an inventory from Parse,
// Parse(Format(inv)) returns an equal one.
func Format(inv *Inventory) []byte {
	w := &tomlWriter{}
	w.number("target", inv.TargetUtilization)
	w.number("eject", inv.MaxEjectedShare)
	if len(inv.RetiredUpstreams) > 0 {
		w.list("retire", inv.RetiredUpstreams)
	}
	w.formatTopology(inv)
	w.formatServices(inv)
	w.formatRules(inv)
	return w.buf.Bytes()
}

// tomlWriter writes the tables and keys of a document.
type tomlWriter struct {
	buf bytes.Buffer
}

func (w *tomlWriter) table(name string) { fmt.Fprintf(&w.buf, "\n[[%s]]\n", name) }

func (w *tomlWriter) text(key, s string) { fmt.Fprintf(&w.buf, "%s = %s\n", key, quote(s)) }

func (w *tomlWriter) number(key string, n float64) {
	fmt.Fprintf(&w.buf, "%s = %s\n", key, formatNumber(n))
}

// formatNumber formats whole numbers without an exponent, as operators write
// them.
func formatNumber(n float64) string {
	if n == float64(int64(n)) && n < 1e15 && n > -1e15 {
		return strconv.FormatInt(int64(n), 10)
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

func (w *tomlWriter) list(key string, items []string) {
	quoted := make([]string, len(items))
	for i, s := range items {
		quoted[i] = quote(s)
	}
	fmt.Fprintf(&w.buf, "%s = [%s]\n", key, strings.Join(quoted, ", "))
}

func (w *tomlWriter) operations(key string, ops []Operation) {
	if len(ops) == 0 {
		return
	}
	items := make([]string, len(ops))
	for i, o := range ops {
		items[i] = o.String()
	}
	w.list(key, items)
}

func (w *tomlWriter) formatTopology(inv *Inventory) {
	for _, r := range inv.Regions {
		w.table("region")
		w.text("name", r.Name)
		w.list("domains", r.Domains)
	}
	for _, h := range inv.Hosts {
		w.table("host")
		w.text("name", h.Name)
		w.text("region", h.Region)
		w.text("domain", h.Domain)
		w.text("caller", h.CallerAddr.String())
		w.text("peer", h.PeerAddr.String())
	}
	for _, b := range inv.Blocks {
		w.table("block")
		w.text("prefix", b.Prefix.String())
		w.text("region", b.Region)
	}
	for _, l := range inv.Links {
		w.table("link")
		w.text("from", l.From)
		w.text("to", l.To)
		w.number("bytes", l.ByteRate)
	}
}

func (w *tomlWriter) formatServices(inv *Inventory) {
	for _, s := range inv.Services {
		w.table("service")
		w.text("name", s.Name)
		w.list("regions", s.Regions)
		w.operations("reads", s.Reads)
		w.operations("actions", s.Actions)
		w.text("deadline", s.Deadline.String())
	}
}

func (w *tomlWriter) formatRules(inv *Inventory) {
	for _, s := range inv.Shifts {
		w.table("shift")
		w.text("service", s.Service)
		w.text("from", s.From)
		w.text("to", s.To)
		fmt.Fprintf(&w.buf, "allow = %t\n", s.Allow)
		w.number("requests", s.MaxRequestRate)
		w.number("bytes", s.MaxByteRate)
	}
	for _, d := range inv.Drains {
		w.drain(d)
	}
}

func (w *tomlWriter) drain(d Drain) {
	w.table("drain")
	w.text("kind", string(d.Kind))
	w.text("name", d.Name)
	w.number("share", d.Share)
}

// quote returns a TOML basic string. Control characters, which Parse rejects in
// all names, are escaped so that the document stays well-formed.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < ' ' || r == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}
