package test

import (
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// doQuiet stops the announcements of all upstreams while they still answer.
func doQuiet(ts *testscript.TestScript, _ bool, _ []string) {
	for _, u := range of(ts).upstreams {
		u.SuppressAnnouncements(true)
	}
}

// doMute makes the open connections of upstreams behind a relay silent for
// good, while new ones work.
func doMute(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		of(ts).relays[id].mute()
	}
}

// doCrashes checks how many upstreams the crashing request has ended.
func doCrashes(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "crashes <=COUNT")
	n := 0
	for _, u := range of(ts).upstreams {
		if u.Crashed() {
			n++
		}
	}
	if n == 0 || n > number(ts, strings.TrimPrefix(args[0], "<=")) {
		ts.Fatalf("%d upstreams crashed", n)
	}
}

// doState makes an upstream announce a state, or "killed" ends it at once.
func doState(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "state UPSTREAM up|draining|leaving|killed")
	u := of(ts).upstreams[args[0]]
	if u == nil {
		ts.Fatalf("no upstream %q", args[0])
	}
	if args[1] == "killed" {
		u.Kill()
		return
	}
	u.SetState(args[1])
}

// doIdle lets LIMIT pass and then checks that the upstream receives no new
// work while another second of load goes on.
func doIdle(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "idle UPSTREAM LIMIT")
	u := of(ts).upstreams[args[0]]
	limit := time.Now().Add(span(ts, args[1]))
	time.Sleep(time.Until(limit) + time.Second)
	if last := u.LastStart(); last.After(limit) {
		ts.Fatalf("%s received new work %v after the limit", args[0], last.Sub(limit))
	}
}

// doRan checks how many requests the upstreams of a service in a region have
// executed: ran SERVICE REGION <=COUNT or >=COUNT.
func doRan(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "ran SERVICE REGION <=COUNT|>=COUNT")
	n := 0
	for id, u := range of(ts).upstreams {
		if strings.HasPrefix(id, args[0]+"-"+args[1]+"-") {
			n += u.Executed()
		}
	}
	ts.Logf("%s in %s ran %d requests", args[0], args[1], n)
	limit := number(ts, args[2][2:])
	if (args[2][:2] == "<=") != (n <= limit) && n != limit {
		ts.Fatalf("%s in %s ran %d requests, want %s", args[0], args[1], n, args[2])
	}
}
