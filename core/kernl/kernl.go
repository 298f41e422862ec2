// Package kernl manages the plug-ins of a daemon. Plug-ins register themselves;
// the kernel starts them in order and stops them in reverse order.
package kernl

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Plugin is one component of a daemon. Host is the daemon's own type, through
// which the plug-ins access each other.
type Plugin[Host any] struct {
	// Name is unique among the plug-ins.
	Name string
	// Stage orders the plug-ins; lower stages start first and stop last. Within
	// a stage the order is by name.
	Stage int
	// Start starts the plug-in and returns once it is ready.
	Start func(ctx context.Context, ho Host) error
	// Drain waits for work in progress to finish; it may be nil.
	Drain func(ctx context.Context, ho Host)
	// Stop releases what Start acquired; it may be nil.
	Stop func(ho Host)
}

// Registry collects plug-ins. It is safe for concurrent use.
type Registry[Host any] struct {
	mu      sync.Mutex
	plugins []Plugin[Host]
}

// Register adds a plug-in. It panics if the name is taken, since that is a
// programming error.
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

// List returns the plug-ins in start order.
func (rg *Registry[Host]) List() []Plugin[Host] {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return slices.Clone(rg.plugins)
}

// Kernel runs the plug-ins of one host.
type Kernel[Host any] struct {
	host    Host
	plugins []Plugin[Host]
	// started is the number of plug-ins, from the front of plugins, that are
	// running.
	started int
}

// New returns a kernel that runs the plug-ins registered so far on the host.
func New[Host any](ho Host, rg *Registry[Host]) *Kernel[Host] {
	return &Kernel[Host]{host: ho, plugins: rg.List()}
}

// Start starts all plug-ins. If one fails, it stops those already started and
// returns the error.
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

// Drain drains the running plug-ins, last started first.
func (ke *Kernel[Host]) Drain(ctx context.Context) {
	for pos := ke.started - 1; pos >= 0; pos-- {
		if ke.plugins[pos].Drain != nil {
			ke.plugins[pos].Drain(ctx, ke.host)
		}
	}
}

// Stop stops the running plug-ins, last started first.
func (ke *Kernel[Host]) Stop() {
	for ke.started > 0 {
		ke.started--
		if stop := ke.plugins[ke.started].Stop; stop != nil {
			stop(ke.host)
		}
	}
}
