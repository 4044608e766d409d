package agatereplica_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/io/agatereplica"
)

// A command must be applied everywhere, once, and its result must come back.
func TestProposeAndRead(t *testing.T) {
	run(t, 3, agatereplica.Config{}, func(t *testing.T, g *group) {
		ctx := context.Background()
		l := g.leader()
		for i := uint64(1); i <= 3; i++ {
			got, err := l.Propose(ctx, number(i))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, number(i*(i+1)/2))
		}
		assert.NilError(t, l.Read(ctx))
	})
}
