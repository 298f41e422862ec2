// Package life is the state machine of a daemon's life.
package life

import (
	"context"
	"sync/atomic"

	"github.com/qmuntal/stateless"
)

// State is a stage of a daemon's life.
type State string

// Stages of a daemon's life, in order.
const (
	Starting State = "starting"
	Serving  State = "serving"
	Leaving  State = "leaving"
	Stopped  State = "stopped"
)

type trigger string

const (
	ready trigger = "ready"
	leave trigger = "leave"
	stop  trigger = "stop"
)

// Machine follows a daemon's life. It is safe for concurrent use.
type Machine struct {
	machine *stateless.StateMachine
	current atomic.Value
}

// New returns a machine in Starting. The function given is called after each
// change of state; it may be nil.
func New(changed func(State)) *Machine {
	ma := &Machine{machine: stateless.NewStateMachine(Starting)}
	ma.current.Store(Starting)
	ma.machine.Configure(Starting).
		Permit(ready, Serving).
		Permit(leave, Leaving).
		Permit(stop, Stopped)
	ma.machine.Configure(Serving).
		Permit(leave, Leaving).
		Permit(stop, Stopped).
		Ignore(ready)
	ma.machine.Configure(Leaving).
		Permit(stop, Stopped).
		Ignore(ready).
		Ignore(leave)
	ma.machine.Configure(Stopped).
		Ignore(ready).
		Ignore(leave).
		Ignore(stop)
	ma.machine.OnTransitioned(func(_ context.Context, tr stateless.Transition) {
		next := tr.Destination.(State)
		ma.current.Store(next)
		if changed != nil {
			changed(next)
		}
	})
	return ma
}

// State returns the current stage.
func (ma *Machine) State() State { return ma.current.Load().(State) }

// Ready says that the daemon can serve.
func (ma *Machine) Ready() error { return ma.machine.Fire(ready) }

// Leave says that the daemon is to shut down.
func (ma *Machine) Leave() error { return ma.machine.Fire(leave) }

// Stop says that nothing runs any more.
func (ma *Machine) Stop() error { return ma.machine.Fire(stop) }
