package controller

import (
	"context"
	"net/http"
	"time"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/replicator"
)

// transferTimeout bounds the leadership transfer at a planned stop.
const transferTimeout = 3 * time.Second

// chooseLog sets up the log: replicated among the control hosts and kept in the data
// folder, or local and in memory if the settings name no data folder.
func (c *Controller) chooseLog() {
	if c.Settings.DataFolder == "" {
		log := &localLog{apply: c.apply}
		c.propose, c.confirm = log.propose, log.confirm
		return
	}
	transport := &replicator.Transport{Log: c.Log}
	c.replicator = &replicator.Replicator{
		Name: c.Name, Address: c.Settings.Listen, Folder: c.Settings.DataFolder, Apply: c.apply, Snapshot: c.snapshot,
		Restore: c.restore, Send: transport.Send, Ask: transport.Ask, Log: c.Log,
	}
	for _, p := range c.Settings.Peers {
		c.replicator.Peers = append(c.replicator.Peers, replicator.Peer{Name: p.Name, Address: p.Address})
		if p.Name == c.Name {
			c.replicator.Address = p.Address
		}
	}
	if len(c.replicator.Peers) == 0 {
		c.replicator.Peers = []replicator.Peer{{Name: c.Name, Address: c.Settings.Listen}}
	}
	c.transport = transport
	c.propose, c.confirm = c.replicator.Submit, c.replicator.Confirm
}

// transferLeadership transfers the leadership to another control host before this
// one stops, if it is the leader.
func (c *Controller) transferLeadership(ctx context.Context) {
	if c.replicator == nil || c.replicator.Status().Role != "leader" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	// If it fails, the others elect a leader once this host has stopped.
	_ = c.replicator.TransferLeadership(ctx)
}

// runReplicator runs the replicated log, if there is one, until ctx ends.
func (c *Controller) runReplicator(ctx context.Context) (err error) {
	if c.replicator == nil {
		return nil
	}
	defer func() {
		if closeErr := c.transport.Close(); err == nil {
			err = closeErr
		}
	}()
	return c.replicator.Run(ctx)
}

// addRoutes adds the operator routes that concern the whole system.
func (c *Controller) addRoutes(mux *http.ServeMux) {
	c.newPresenter().Routes(mux)
	if c.replicator != nil {
		(&membershipHandler{replicator: c.replicator}).addRoutes(mux)
	}
}

// otherHosts returns the control hosts except this one, from the replicated
// membership or, while that names none, from the settings.
func (c *Controller) otherHosts() []parser.Peer {
	var others []parser.Peer
	if c.replicator != nil {
		for _, m := range c.replicator.Status().Members {
			if m.Name != c.Name {
				others = append(others, parser.Peer{Name: m.Name, Address: m.Address})
			}
		}
	}
	if len(others) > 0 {
		return others
	}
	for _, p := range c.Settings.Peers {
		if p.Name != c.Name {
			others = append(others, p)
		}
	}
	return others
}
