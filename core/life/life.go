// Package life implements the lifecycle of a daemon as a state machine.
package life

import (
	"context"
	"sync/atomic"

	"github.com/qmuntal/stateless"
)

// State is a lifecycle state of a daemon.
type State string

// Lifecycle states, in order. A daemon may skip states, but never goes back.
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

// Machine holds the lifecycle state of a daemon. It is safe for concurrent use.
type Machine struct {
	machine *stateless.StateMachine
	// current is the state of machine, of type State.
	current atomic.Value
}

// New returns a machine in Starting. It calls onChange after each change of
// state; onChange may be nil.
func New(onChange func(State)) *Machine {
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
		if onChange != nil {
			onChange(next)
		}
	})
	return ma
}

// State returns the current state.
func (ma *Machine) State() State { return ma.current.Load().(State) }

// Ready changes Starting to Serving; it has no effect in a later state.
func (ma *Machine) Ready() error { return ma.machine.Fire(ready) }

// Leave begins the shutdown; it has no effect in Leaving and Stopped.
func (ma *Machine) Leave() error { return ma.machine.Fire(leave) }

// Stop ends the shutdown; it is called once nothing runs any more.
func (ma *Machine) Stop() error { return ma.machine.Fire(stop) }
