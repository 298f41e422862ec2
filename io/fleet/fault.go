package fleet

import (
	"context"
	"encoding/json"

	"banyanspring/io/daemon"
	"banyanspring/io/standin/upstr"
	"banyanspring/io/store"
)

// SetIsolated starts or ends a network partition between a place and all others. A
// place other than the platform's is also cut off from the platform. Connections
// that lost bytes stay silent after the partition ends. Open connections on paths
// without latency are not affected; see link.Wrap.
func (fl *Fleet) SetIsolated(pl Place, isolated bool) {
	for _, other := range fl.opts.Places {
		if other != pl {
			fl.Path(pl, other).SetSilent(isolated)
		}
	}
}

// KillDaemon stops a daemon without draining. The platform's list of instances
// shows it until its lag has elapsed.
func (fl *Fleet) KillDaemon(da *daemon.Daemon) {
	fl.Remove(da)
	da.Kill()
	fl.Platform.RemoveInstance(da.Settings.Daemon.ID)
}

// SetLeaving marks an upstream as leaving in the platform's store, so that the
// daemons give it no new work.
func (fl *Fleet) SetLeaving(ctx context.Context, group, member string) error {
	cl := fl.storeClient()
	obj, err := cl.Get(ctx, store.KindGroup, group)
	if err != nil {
		return err
	}
	var gr store.Group
	if err := json.Unmarshal(obj.Value, &gr); err != nil {
		return err
	}
	for pos := range gr.Members {
		if gr.Members[pos].Name == member {
			gr.Members[pos].Leaving = true
		}
	}
	_, err = cl.Put(ctx, store.KindGroup, group, obj.Version, gr)
	return err
}

// SilenceOpenConns makes the open connections between all places silent until they
// are closed. New connections work.
func (fl *Fleet) SilenceOpenConns() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, path := range fl.paths {
		path.SilenceOpenConns()
	}
}

// Primary returns the primary of a database's group. If several upstreams consider
// themselves primary, it is the one with the highest term; nil if none does.
func (fl *Fleet) Primary(service, database int) *upstr.Server {
	var best *upstr.Server
	for _, up := range fl.Groups[GroupName(service, database)] {
		if !up.IsPrimary() {
			continue
		}
		if best == nil || up.Position().Term.Compare(best.Position().Term) > 0 {
			best = up
		}
	}
	return best
}

// PlaceOfUpstream returns the place of an upstream.
func (fl *Fleet) PlaceOfUpstream(up *upstr.Server) Place {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.places[up.Address()]
}
