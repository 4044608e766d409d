package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// bigConfigRoutes is the largest count of big_config in the site files.
	bigConfigRoutes = 1400
	// changes is the number of manifests of the day: "hundreds of changes".
	changes = 500
	// changeGap is the pause between two of them. The site files have storms of a change
	// each 60 ms.
	changeGap = 60 * time.Millisecond
	// coreMemoryMB is memory_mb of the core machines' settings.
	coreMemoryMB = 280
	// readBack is how long the operator asks for the manifest at the end of the day.
	readBack = 30 * time.Second
)

// runChanges plays hundreds of changes of a manifest with many routes, and then kills all
// processes of the core at the same moment. It reports whether the manifest does not come
// when it is read back, or is not the newest one.
func runChanges(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 5, 2, 284)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return false, err
	}
	d.client.Timeout = 2 * time.Second // "more for large bodies"
	var mu sync.Mutex
	ends := map[string]int{}
	for _, p := range d.cores {
		go p.supervise(coreMemoryMB, func(why string) {
			mu.Lock()
			ends[p.name]++
			n := ends[p.name]
			mu.Unlock()
			if n <= 5 || n%20 == 0 {
				rec.say("platform: the process of %s has ended, for the %d. time: %s", p.name, n, why)
			}
		})
	}
	services := []service{{Name: "huvo11a", HealthPath: "/health", MaxConns: 330, Protocol: "h1", WarmupS: 3, WarmupPerS: 14}}
	version := 0
	var newest []byte
	begun := time.Now()
	for n := range changes {
		version += 2
		newest = manifest(version, services, manyRoutes(n))
		if n == 0 {
			rec.say("the manifest has %d routes and %d bytes", bigConfigRoutes, len(newest))
		}
		if status := d.putManifest(version, newest, 10*time.Second); status != http.StatusOK {
			return false, fmt.Errorf("%w: manifest %d got %d", errCannotRun, version, status)
		}
		rec.add("operator: manifest %d is acknowledged", version)
		time.Sleep(changeGap)
	}
	most := 0.0
	for _, p := range d.cores {
		most = max(most, p.memoryMB())
	}
	rec.say("operator: %d manifests are acknowledged in %.1f s, the newest is %d; a core process uses up to %.0f MB of %d MB", changes, time.Since(begun).Seconds(), version, most, coreMemoryMB)
	time.Sleep(4 * time.Second)
	mu.Lock()
	for name, n := range ends {
		mu.Unlock()
		return false, fmt.Errorf("%w: %s has ended %d times before the disruption", errCannotRun, name, n)
	}
	mu.Unlock()
	if trouble {
		rec.say("all processes of the core are killed; the platform starts them again after half a second")
		for _, p := range d.cores {
			p.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(readBack)
	for time.Now().Before(end) {
		status, body := d.call(http.MethodGet, "/api/config", nil, nil, 2*time.Second)
		rec.add("operator: the manifest is read back: %d, %d bytes", status, len(body))
		if status == http.StatusOK {
			same := bytes.Equal(body, newest)
			rec.say("operator: the manifest that is read back is the newest one: %t", same)
			return !same, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.say("operator: the manifest does not come within %s", readBack)
	for _, p := range d.cores {
		rec.say("%s: started %d times, its last start uses %.0f MB", p.name, p.starts, p.memoryMB())
	}
	return true, nil
}

// manyRoutes returns the routes of the n-th manifest, which differ in one timeout.
func manyRoutes(n int) []route {
	routes := make([]route, 0, bigConfigRoutes)
	for i := range bigConfigRoutes {
		routes = append(routes, route{
			Name: fmt.Sprintf("r-%07x", i*7919), PathPrefix: fmt.Sprintf("/lepu%d/ny%d/", i, i%97), Kind: "safe",
			TimeoutS: 1, TargetLatencyS: 0.2, Priority: 2, Service: "huvo11a", MaxAttempts: 2, Sticky: true,
		})
	}
	routes[n%bigConfigRoutes].TimeoutS = 1.2
	return routes
}
