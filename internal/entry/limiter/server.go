package limiter

import (
	"context"
	"time"

	"verbenareach/internal/wire/messenger"
)

// Server serves the calls of other entries over drpc.
type Server struct {
	Limiter *Limiter
	// Now returns the present time.
	Now func() time.Time
}

var _ messenger.DRPCLimitsServer = &Server{}

// Declare answers a home's declaration request.
func (s *Server) Declare(_ context.Context, req *messenger.DeclareRequest) (*messenger.DeclareReply, error) {
	return s.Limiter.ServeDeclare(s.Now(), req), nil
}

// Lend answers the asks of a borrower.
func (s *Server) Lend(_ context.Context, req *messenger.LendRequest) (*messenger.LendReply, error) {
	return s.Limiter.ServeLend(s.Now(), req), nil
}
