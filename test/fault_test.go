package test

import (
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// doStopAnnouncements stops the announcements of all upstreams, which continue to
// serve requests.
func doStopAnnouncements(ts *testscript.TestScript, _ bool, _ []string) {
	for _, u := range systemOf(ts).upstreams {
		u.SuppressAnnouncements(true)
	}
}

// doBlackhole makes relays discard all data of the connections that are open to
// the named upstreams. New connections work.
func doBlackhole(ts *testscript.TestScript, _ bool, args []string) {
	for _, id := range args {
		systemOf(ts).relays[id].blackhole()
	}
}

// doCrashedUpstreams checks that a request has crashed at least one and at most
// COUNT upstreams.
func doCrashedUpstreams(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "crashed-upstreams <=COUNT")
	n := 0
	for _, u := range systemOf(ts).upstreams {
		if u.Crashed() {
			n++
		}
	}
	if n == 0 || n > parseInt(ts, strings.TrimPrefix(args[0], "<=")) {
		ts.Fatalf("%d upstreams crashed", n)
	}
}

// doSetState makes an upstream announce a state. The state "killed" stops it
// without an announcement.
func doSetState(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "set-state UPSTREAM up|draining|leaving|killed")
	u := systemOf(ts).upstreams[args[0]]
	if u == nil {
		ts.Fatalf("no upstream %q", args[0])
	}
	if args[1] == "killed" {
		u.Kill()
		return
	}
	u.SetState(args[1])
}

// doIdleAfter checks that an upstream receives no request in the second after DELAY
// has passed. The load must run meanwhile.
func doIdleAfter(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "idle-after UPSTREAM DELAY")
	u := systemOf(ts).upstreams[args[0]]
	start := time.Now().Add(parseDuration(ts, args[1]))
	time.Sleep(time.Until(start) + time.Second)
	if last := u.LastStart(); last.After(start) {
		ts.Fatalf("%s received a request %v after the delay", args[0], last.Sub(start))
	}
}

// doRegionExecutions checks how many requests the upstreams of a service in a
// region have executed since their start.
func doRegionExecutions(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "region-executions SERVICE REGION <=COUNT|>=COUNT")
	n := 0
	for id, u := range systemOf(ts).upstreams {
		if strings.HasPrefix(id, args[0]+"-"+args[1]+"-") {
			n += u.Executed()
		}
	}
	ts.Logf("%s in %s executed %d requests", args[0], args[1], n)
	limit := parseInt(ts, args[2][2:])
	if (args[2][:2] == "<=") != (n <= limit) && n != limit {
		ts.Fatalf("%s in %s executed %d requests, want %s", args[0], args[1], n, args[2])
	}
}
