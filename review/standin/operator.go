package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// operator calls the control processes as the platform's operator does: each call picks
// one at random, follows a redirect twice, and moves on after a failure, a 5xx or a
// second without a response.
type operator struct {
	d      *deployment
	client *http.Client
}

func newOperator(d *deployment) *operator {
	return &operator{d: d, client: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     &http.Transport{DisableKeepAlives: true},
	}}
}

// once makes one call at a host and follows redirects. It returns status 0 if there was
// no response in time.
func (o *operator) once(host, method, path, match string, body []byte, timeout time.Duration) (status int, answer []byte) {
	url := fmt.Sprintf("http://%s:%d%s", host, controlPort, path)
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		req, _ := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if match != "" {
			req.Header.Set("If-Match", match)
		}
		if body != nil {
			req.Header.Set("Content-Type", "application/json")
		}
		resp, err := o.client.Do(req)
		if err != nil {
			cancel()
			return 0, nil
		}
		answer, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		cancel()
		if err != nil {
			return 0, nil
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, answer
		}
		url = resp.Header.Get("Location")
	}
	return 0, nil
}

// order sends an order until it gets a clear answer, at any host, for at most limit.
func (o *operator) order(method, path, match string, body []byte, limit time.Duration) (status int, answer []byte) {
	hosts := o.d.role("control")
	end := time.Now().Add(limit)
	backoff := 50 * time.Millisecond
	timeout := time.Second + time.Duration(len(body)>>10)*time.Millisecond // more for large bodies
	for time.Now().Before(end) {
		host := hosts[rand.IntN(len(hosts))]
		status, answer = o.once(host.ip, method, path, match, body, timeout)
		if status != 0 && status < 500 && status != 408 && status != 429 {
			return status, answer
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 500*time.Millisecond)
	}
	return 0, nil
}

// manifest is a small manifest as on the platform's pages.
type manifest struct {
	Version  int       `json:"version"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Hosts    []vhost   `json:"virtual_hosts"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmup_s"`
	WarmupPerS float64 `json:"warmup_per_s"`
}

type limits struct {
	MaxHeaderBytes int     `json:"max_header_bytes"`
	MaxBodyBytes   int     `json:"max_body_bytes"`
	HeaderTimeoutS float64 `json:"header_timeout_s"`
	IdleTimeoutS   float64 `json:"idle_timeout_s"`
}

type vhost struct {
	Host  string  `json:"host"`
	Paths []route `json:"paths"`
}

type route struct {
	Name           string   `json:"name"`
	PathPrefix     string   `json:"path_prefix"`
	Kind           string   `json:"kind"`
	TimeoutS       float64  `json:"timeout_s"`
	TargetLatencyS float64  `json:"target_latency_s"`
	Priority       int      `json:"priority"`
	Service        string   `json:"service"`
	MaxAttempts    int      `json:"max_attempts"`
	Sticky         bool     `json:"sticky"`
	AllowedRegions []string `json:"allowed_regions"`
}

const hostName = "jepu9.example"

// newManifest returns a manifest with one route in use, /files/ or /buy/ of the service
// huvo11a, and further idle routes, as a manifest that grows by many routes has them.
func newManifest(idle int) *manifest {
	m := &manifest{
		Services: []service{{Name: "huvo11a", HealthPath: "/health", MaxConns: 360, Protocol: "h1", WarmupS: 3, WarmupPerS: 14}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutS: 3, IdleTimeoutS: 15},
	}
	paths := []route{
		{Name: "r-files", PathPrefix: "/files/", Kind: "safe", TimeoutS: 10, TargetLatencyS: 0.5, Priority: 2, Service: "huvo11a", MaxAttempts: 2, AllowedRegions: []string{}},
		{Name: "r-buy", PathPrefix: "/buy/", Kind: "unsafe", TimeoutS: 10, TargetLatencyS: 0.5, Priority: 1, Service: "huvo11a", MaxAttempts: 2, AllowedRegions: []string{}},
	}
	for i := range idle {
		paths = append(paths, route{
			Name: fmt.Sprintf("r-%08x", rand.Uint32()), PathPrefix: fmt.Sprintf("/lepu%d/%08x/", i, rand.Uint32()), Kind: "safe",
			TimeoutS: 1, TargetLatencyS: 0.2, Priority: 2, Service: "huvo11a", MaxAttempts: 2, Sticky: true, AllowedRegions: []string{},
		})
	}
	m.Hosts = []vhost{{Host: hostName, Paths: paths}}
	return m
}

// encode returns the text of a manifest with a version.
func (m *manifest) encode(version int) []byte {
	m.Version = version
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// versionOf returns the version of a manifest's text, or 0.
func versionOf(text []byte) int {
	var m struct {
		Version int `json:"version"`
	}
	_ = json.Unmarshal(text, &m)
	return m.Version
}
