package agateroute

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testDuration is shorter than in the benchmark, to keep the tests short under
// the race detector.
const testDuration = 10 * time.Second

// testBaselines are the baselines that the tests compare with, the strongest
// ones of the benchmark.
var testBaselines = []string{"least", "two-choices", "own+peers"}

// targetRuns are the workloads of the policy benchmark that run as tests.
var targetRuns = []struct {
	d        deployment
	workload string
}{
	{deploymentA, "high-0.95"},
	{deploymentA, "over-1.3"},
	{deploymentA, "domain-lost"},
	{deploymentA, "silent"},
	{deploymentA, "crashing"},
	{deploymentB, "region-lost"},
	{deploymentB, "rolling-drain"},
}

// Guards against a policy that answers a smaller share of requests in time than a
// baseline or 99% of the ideal, admits more work than the capacity, exceeds the
// shift limit, or sends new work later than 2 s after the start of a drain. It runs
// a subset of the policy benchmark.
func TestPolicyTargets(t *testing.T) {
	for _, target := range targetRuns {
		t.Run(target.d.name+"/"+target.workload, func(t *testing.T) {
			t.Parallel()
			w := workloadNamed(t, target.workload)
			w.duration = testDuration
			checkTargets(t, target.d, w)
		})
	}
}

func workloadNamed(t *testing.T, name string) workload {
	for _, w := range workloads {
		if w.name == name {
			return w
		}
	}
	t.Fatalf("no workload %s", name)
	return workload{}
}

func checkTargets(t *testing.T, d deployment, w workload) {
	got, best := run(d, w, tablePolicy), run(d, w, idealPolicy)
	t.Run("share", func(t *testing.T) {
		assert.Assert(t, got.share() >= 0.99*best.share(), "in time: %v, ideal %v", got.share(), best.share())
	})
	for _, p := range baselines {
		if !slices.Contains(testBaselines, p.name) {
			continue
		}
		t.Run("not-below-"+p.name, func(t *testing.T) {
			other := run(d, w, p)
			assert.Assert(t, got.share() >= other.share(), "in time: %v, %s %v", got.share(), p.name, other.share())
		})
	}
	t.Run("load", func(t *testing.T) {
		assert.Assert(t, got.maxLoad > 0 && got.maxLoad <= 1, "admitted work against capacity: %v", got.maxLoad)
	})
	t.Run("due", func(t *testing.T) {
		assert.Assert(t, got.maxDeadlineLoad > 0 && got.maxDeadlineLoad <= 1, "admitted work against capacity until its deadline: %v", got.maxDeadlineLoad)
	})
	t.Run("shift", func(t *testing.T) {
		assert.Assert(t, got.maxShift <= 1, "shift against its cap: %v", got.maxShift)
	})
	t.Run("drain", func(t *testing.T) {
		assert.Assert(t, got.workAfterDrain <= 2*time.Second, "new work %v after a drain began", got.workAfterDrain)
	})
}

// Guards against results that differ between runs with the same seed.
func TestPolicyRepeats(t *testing.T) {
	w := workloadNamed(t, "region-lost")
	w.duration = 8 * time.Second
	a, b := run(deploymentB, w, tablePolicy), run(deploymentB, w, tablePolicy)
	assert.Equal(t, a.share(), b.share())
	assert.Equal(t, a.quantile(0.99), b.quantile(0.99))
	assert.Equal(t, a.maxLoad, b.maxLoad)
}
