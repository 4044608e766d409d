// Package agatereplica runs one replica of the control group: it drives the
// replicated log, the store and the state machine.
//
// Three goroutines share the work and communicate over bounded queues. One owns
// the agatequorum.Core. One writes to the store: everything that arrives during
// a write is batched into the next one, with a single fsync. One owns the state
// machine, so that a long Apply or Snapshot does not delay heartbeats.
//
// # Usage
//
//	r, err := agatereplica.Open(agatereplica.Config{
//		ID:           saved.Identity,
//		Saved:        saved,
//		Send:         transport.Send,
//		Apply:        machine.Apply,
//		Snapshot:     machine.Snapshot,
//		Restore:      machine.Restore,
//		Append:       store.Append,
//		SaveSnapshot: store.SaveSnapshot,
//	})
//	...
//	result, err := r.Propose(ctx, command)
//	...
//	err = r.Stop(ctx) // transfers the leadership first
package agatereplica
