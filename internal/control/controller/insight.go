package controller

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/control/replicator"
	"verbenareach/internal/insight/gatherer"
	"verbenareach/internal/insight/presenter"
	"verbenareach/internal/wire/messenger"
)

// newPresenter returns the presenter of all processes' event records and service
// levels.
func (c *Controller) newPresenter() *presenter.Presenter {
	return &presenter.Presenter{Gatherer: &gatherer.Gatherer{
		Conn: func(ctx context.Context, address string) drpc.Conn {
			return c.peers.pool.Conn(ctx, address)
		},
		Members: c.allProcesses,
	}}
}

// allProcesses returns all live members and all control hosts.
func (c *Controller) allProcesses() []registrar.Member {
	var members []registrar.Member
	c.distributor.View().EachMember(func(m registrar.Member) { members = append(members, m) })
	for _, p := range c.Settings.Peers {
		members = append(members, registrar.Member{Name: p.Name, Role: registrar.RoleControl, Address: p.Address})
	}
	return members
}

// register registers the services that other processes call.
func (c *Controller) register(mux *drpcmux.Mux) error {
	if err := messenger.DRPCRegisterControl(mux, &service{c}); err != nil {
		return err
	}
	if c.replicator != nil {
		if err := messenger.DRPCRegisterPeers(mux, &replicator.Service{Replicator: c.replicator, Transport: c.transport}); err != nil {
			return err
		}
	}
	if c.RegisterServices == nil {
		return nil
	}
	return c.RegisterServices(mux)
}
