package main

import (
	"strconv"
	"sync"
	"time"
)

func init() { cases["race"] = race }

// race lets two operators change the manifest at once, each on top of the version in
// force. It is broken if both changes are acknowledged.
func race(d *deployment, trouble bool) int {
	const (
		idleRoutes = 350 // what the manifest has grown by
		rounds     = 600
		length     = 85 * time.Second
		contact    = 3 * time.Second  // contact_s
		recovery   = 15 * time.Second // recovery_s
	)
	d.addControl(5)
	if err := d.start(); err != nil {
		return failed
	}
	o := newOperator(d)
	m := newManifest(idleRoutes)
	version := 1
	if !firstManifest(o, m.encode(version)) {
		return failed
	}
	time.Sleep(2 * time.Second)
	code := held
	newest := version
	end := time.Now().Add(length)
	for i := 0; i < rounds && time.Now().Before(end); i++ {
		base := version
		m.Hosts[0].Paths[0].TimeoutS = 10 + float64(i%5)
		first := m.encode(base + 1)
		m.Hosts[0].Paths[1].TimeoutS = 10 + float64(i%7)
		second := m.encode(base + 2)
		secondBase := strconv.Itoa(base)
		offset := time.Duration(i%30) * time.Millisecond
		var statuses [2]int
		var wg sync.WaitGroup
		wg.Go(func() { statuses[0], _ = o.order("PUT", "/api/config", strconv.Itoa(base), first, 4*time.Second) })
		if trouble {
			time.Sleep(offset)
		} else {
			wg.Wait() // the second operator builds on what the first one has done
			secondBase = strconv.Itoa(base + 1)
		}
		wg.Go(func() { statuses[1], _ = o.order("PUT", "/api/config", secondBase, second, 4*time.Second) })
		wg.Wait()
		status, text := o.order("GET", "/api/config", "", nil, 4*time.Second)
		version = versionOf(text)
		d.record.printf("round %d: change %d on %d: %d; change %d on %s, %v later: %d; read: %d, version %d",
			i, base+1, base, statuses[0], base+2, secondBase, offset, statuses[1], status, version)
		if status != 200 || version == 0 {
			return failed
		}
		if trouble && statuses[0] == 200 && statuses[1] == 200 {
			d.record.printf("BROKEN: two changes on top of version %d are both acknowledged", base)
			code = broken
		}
		newest = newestAcked(base, statuses)
		if version < newest {
			// No break: the read was not sent config_apply_s after the ack.
			d.record.printf("seen: version %d was acknowledged, the manifest in force has version %d", newest, version)
		}
		// The next change builds on the version in force.
	}
	time.Sleep(contact)
	_, text := o.order("GET", "/api/config", "", nil, recovery)
	d.record.printf("read at the end: version %d", versionOf(text))
	if versionOf(text) < newest {
		d.record.printf("BROKEN: version %d was acknowledged last", newest)
		code = broken
	}
	return code
}

func newestAcked(base int, statuses [2]int) int {
	newest := base
	for i, s := range statuses {
		if s == 200 {
			newest = max(newest, base+1+i)
		}
	}
	return newest
}
