// Package kernl is the kernel of a daemon: plug-ins register themselves, and
// the kernel starts them in order and stops them in reverse.
package kernl

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Plugin is one part of a daemon. Host is the daemon's own type, through which
// the plug-ins reach each other.
type Plugin[Host any] struct {
	// Name is unique among the plug-ins.
	Name string
	// Stage orders the plug-ins; lower stages start first and stop last.
	Stage int
	// Start brings the plug-in up and returns once it is ready.
	Start func(ctx context.Context, ho Host) error
	// Drain lets work in hand end; it may be nil.
	Drain func(ctx context.Context, ho Host)
	// Stop releases what Start took; it may be nil.
	Stop func(ho Host)
}

// Registry collects plug-ins.
type Registry[Host any] struct {
	mu      sync.Mutex
	plugins []Plugin[Host]
}

// Register adds a plug-in; it panics if the name is taken, since that is a
// fault of the build.
func (rg *Registry[Host]) Register(pl Plugin[Host]) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	for _, other := range rg.plugins {
		if other.Name == pl.Name {
			panic("plug-in registered twice: " + pl.Name)
		}
	}
	rg.plugins = append(rg.plugins, pl)
	slices.SortStableFunc(rg.plugins, func(left, right Plugin[Host]) int {
		if ord := cmp.Compare(left.Stage, right.Stage); ord != 0 {
			return ord
		}
		return cmp.Compare(left.Name, right.Name)
	})
}

// List returns the plug-ins in the order of their start.
func (rg *Registry[Host]) List() []Plugin[Host] {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return slices.Clone(rg.plugins)
}

// Kernel runs the plug-ins of one host.
type Kernel[Host any] struct {
	host    Host
	plugins []Plugin[Host]
	// started counts the plug-ins that are up, from the front of plugins.
	started int
}

// New returns a kernel for the host with all plug-ins registered so far.
func New[Host any](ho Host, rg *Registry[Host]) *Kernel[Host] {
	return &Kernel[Host]{host: ho, plugins: rg.List()}
}

// Start starts all plug-ins; if one fails, those before it are stopped.
func (ke *Kernel[Host]) Start(ctx context.Context) error {
	for _, pl := range ke.plugins {
		if err := pl.Start(ctx, ke.host); err != nil {
			ke.Stop()
			return errors.Wrapf(err, "plug-in %s", pl.Name)
		}
		ke.started++
	}
	return nil
}

// Drain lets the plug-ins finish their work, last started first.
func (ke *Kernel[Host]) Drain(ctx context.Context) {
	for pos := ke.started - 1; pos >= 0; pos-- {
		if ke.plugins[pos].Drain != nil {
			ke.plugins[pos].Drain(ctx, ke.host)
		}
	}
}

// Stop stops the plug-ins, last started first.
func (ke *Kernel[Host]) Stop() {
	for ke.started > 0 {
		ke.started--
		if stop := ke.plugins[ke.started].Stop; stop != nil {
			stop(ke.host)
		}
	}
}
