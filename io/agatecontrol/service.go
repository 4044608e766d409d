package agatecontrol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"agategate/core/agatestate"
	"agategate/io/agateclient"
	"agategate/io/agatereplica"
	"agategate/io/agatewire"
)

func invalid(format string, args ...any) error {
	return status.Error(codes.InvalidArgument, fmt.Sprintf("agatecontrol: "+format, args...))
}

func unavailable(format string, args ...any) error {
	return status.Error(codes.Unavailable, fmt.Sprintf("agatecontrol: "+format, args...))
}

// quorumService serves the other control replicas.
type quorumService struct {
	agatewire.UnimplementedQuorumServer
	c *Control
}

// Deliver receives Raft messages until the sender ends the stream.
func (s *quorumService) Deliver(stream grpc.ClientStreamingServer[agatewire.Envelope, agatewire.DeliverReply]) error {
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&agatewire.DeliverReply{})
		}
		if err != nil {
			return err
		}
		if err := s.c.deliver(e); err != nil {
			return err
		}
	}
}

func (c *Control) deliver(e *agatewire.Envelope) error {
	if e.To != c.id {
		return nil // addressed to an earlier replica at this address
	}
	m, err := agatereplica.DecodeMessage(e.Message)
	if err != nil {
		return invalid("quorum message: %v", err)
	}
	if m.Address.IsValid() {
		c.peerAddresses.Store(m.From, m.Address)
	}
	c.healer.RecordContact(m.From, time.Now())
	if r := c.replica.Load(); r != nil {
		r.Deliver(e.From, m)
	}
	return nil
}

// Group describes this replica and its group to another replica.
func (s *quorumService) Group(context.Context, *agatewire.GroupAsk) (*agatewire.GroupReply, error) {
	return s.c.groupReply(), nil
}

// Join admits a replica to the group.
func (s *quorumService) Join(ctx context.Context, req *agatewire.JoinAsk) (*agatewire.JoinReply, error) {
	return s.c.admit(ctx, req)
}

// controlService serves entry hosts, and calls that other replicas forward.
type controlService struct {
	agatewire.UnimplementedControlServer
	c *Control
}

// redirect returns the address of the leader to call instead, or "" if this
// replica is the leader and has confirmed that by its lease or by a majority.
func (c *Control) redirect(ctx context.Context) (leader string, err error) {
	r := c.replica.Load()
	if r == nil {
		return agateclient.LeaderUnknown, nil
	}
	err = r.Read(ctx)
	var notLeader *agatereplica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return c.leaderAddress(notLeader.Leader), nil
	case err != nil:
		return "", unavailable("%v", err)
	}
	return "", nil
}

// Beat handles the heartbeat of an entry host.
func (s *controlService) Beat(ctx context.Context, req *agatewire.BeatAsk) (*agatewire.BeatReply, error) {
	c := s.c
	if req.Sender.GetHost() == "" {
		return nil, invalid("heartbeat without a sender")
	}
	reply := &agatewire.BeatReply{Sender: c.identity()}
	leader, err := c.redirect(ctx)
	if err != nil || leader != "" {
		reply.Leader = leader
		return reply, err
	}
	now := time.Now()
	c.sessions.recordHeartbeat(now, req)
	reply.Revision = c.machine.Config().Revision
	c.sessions.fillReply(reply, c.epoch, req)
	reply.Grants = c.grant(now, req)
	reply.Applied = c.machine.Index()
	c.addSuspects(reply, req.Suspects)
	return reply, nil
}

// addSuspects adds the fingerprints of requests suspected of crashing upstreams,
// with the number of upstreams they crashed, that changed since a log index.
func (c *Control) addSuspects(reply *agatewire.BeatReply, since uint64) {
	delta := c.machine.SuspectsSince(since)
	reply.Index = delta.Index
	reply.Full = delta.Full
	reply.Suspects = agateclient.ToWireSuspects(delta.Suspects)
}

// Config returns the newest configuration.
func (s *controlService) Config(ctx context.Context, _ *agatewire.ConfigAsk) (*agatewire.ConfigReply, error) {
	reply := &agatewire.ConfigReply{Sender: s.c.identity()}
	leader, err := s.c.redirect(ctx)
	if err != nil || leader != "" {
		reply.Leader = leader
		return reply, err
	}
	cur := s.c.machine.Config()
	reply.Revision = cur.Revision
	reply.Document = cur.Document
	reply.Change = cur.ChangeID
	return reply, nil
}

// Read returns the newest revision and log index after confirming that this
// replica is the leader.
func (s *controlService) Read(ctx context.Context, _ *agatewire.ReadAsk) (*agatewire.ReadReply, error) {
	reply := &agatewire.ReadReply{Sender: s.c.identity()}
	leader, err := s.c.redirect(ctx)
	if err != nil || leader != "" {
		reply.Leader = leader
		return reply, err
	}
	reply.Revision = s.c.machine.Config().Revision
	reply.Applied = s.c.machine.Index()
	return reply, nil
}

// Submit proposes a command for an entry host or another replica.
func (s *controlService) Submit(ctx context.Context, req *agatewire.SubmitAsk) (*agatewire.SubmitReply, error) {
	c := s.c
	reply := &agatewire.SubmitReply{Sender: c.identity()}
	cmd, err := agatestate.Decode(req.Command)
	if err != nil {
		return nil, invalid("command: %v", err)
	}
	if cmd.Configure != nil || cmd.Expire != nil {
		return nil, invalid("command is not for entry hosts")
	}
	r := c.replica.Load()
	if r == nil {
		reply.Code = agateclient.CodeNotLeader
		reply.Leader = agateclient.LeaderUnknown
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply.Result, err = r.Propose(ctx, c.encodeCommand(r, cmd))
	s.c.metrics.countProposal(err)
	c.fillError(reply, err)
	return reply, nil
}

// fillError sets the code, leader and error of a reply whose proposal was not
// applied.
func (c *Control) fillError(reply *agatewire.SubmitReply, err error) {
	if err == nil {
		return
	}
	reply.Error = err.Error()
	var notLeader *agatereplica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		reply.Code = agateclient.CodeNotLeader
		reply.Leader = c.leaderAddress(notLeader.Leader)
	case errors.Is(err, agatereplica.ErrRefused):
		reply.Code = agateclient.CodeRefused
	case errors.Is(err, agatereplica.ErrStopped):
		reply.Code = agateclient.CodeNotLeader
		reply.Leader = agateclient.LeaderUnknown
	default:
		reply.Code = agateclient.CodeUnknown
	}
}
