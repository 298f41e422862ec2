// Package fleet runs a whole system in one process: the platform stand-in,
// upstream stand-ins and daemons, with simulated network latency between them. The
// demo, the load tool and the integration tests use it.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/conf"
	"banyanspring/core/docum"
	"banyanspring/io/daemon"
	"banyanspring/io/front"
	"banyanspring/io/home"
	"banyanspring/io/link"
	"banyanspring/io/standin/platf"
	"banyanspring/io/standin/upstr"
	"banyanspring/io/store"
)

// Place is the location of a daemon or upstream: a failure domain and its region.
type Place struct {
	Domain, Region string
}

// Options describes a fleet.
type Options struct {
	// Places are the failure domains. The platform's store is in the first one;
	// primaries are spread over all of them, starting with the first.
	Places []Place
	// DaemonsPerPlace is the number of daemons in each failure domain.
	DaemonsPerPlace int
	// Services and DatabasesPerService give the number of databases. Each
	// database has a group of three upstreams in consecutive places.
	Services, DatabasesPerService int
	// Callers are the accounts of every service, each with weight 1.
	Callers []string
	// Slots, Connections, ConnectCost, StatementCost and Lag apply to every
	// upstream; see upstr.Options.
	Slots, Connections              int
	ConnectCost, StatementCost, Lag time.Duration
	// DomainLatency, RegionLatency and CallerLatency are one-way latencies
	// between domains of a region, between regions, and between callers and
	// daemons. Open connections on a path whose latency is 0 can't be
	// silenced.
	DomainLatency, RegionLatency, CallerLatency time.Duration
	// EditDocument modifies the document before it is stored; it may be nil.
	EditDocument func(*docum.Document)
	// EditDependencies modifies the dependencies of each daemon; it may be nil.
	EditDependencies func(*daemon.Dependencies)
	// EditSettings modifies the settings of each daemon; it may be nil.
	EditSettings func(*conf.Settings)
	Log          *slog.Logger
}

// Password is the password of every caller of a fleet.
const Password = "open-sesame"

// QalamBirligi returns the topology and sizes of the Qalam Birligi consortium, an
// example user with three failure domains in two regions. The demo, the load tool
// and the tests run it by default.
func QalamBirligi() Options {
	return Options{
		Places: []Place{
			{Domain: "almaty-medeu", Region: "almaty"},
			{Domain: "almaty-alatau", Region: "almaty"},
			{Domain: "astana-esil", Region: "astana"},
		},
		DaemonsPerPlace:     1,
		Services:            1,
		DatabasesPerService: 1,
		Callers:             []string{"stationers", "printers", "wholesalers"},
		Slots:               2,
		Connections:         16,
		ConnectCost:         12 * time.Millisecond,
		StatementCost:       200 * time.Microsecond,
		Lag:                 5 * time.Millisecond,
		DomainLatency:       time.Millisecond,
		RegionLatency:       8 * time.Millisecond,
		CallerLatency:       time.Millisecond,
		Log:                 slog.New(slog.DiscardHandler),
	}
}

// Fjordkjemi returns the topology and sizes of Fjordkjemi Distribusjon, an example
// user in other places, whose upstreams allow more connections but open them more
// slowly.
func Fjordkjemi() Options {
	opts := QalamBirligi()
	opts.Places = []Place{
		{Domain: "bergen-a", Region: "vestland"},
		{Domain: "stord-b", Region: "vestland"},
		{Domain: "trondheim-a", Region: "trondelag"},
	}
	opts.Callers = []string{"order_desk", "depots", "safety_sheets"}
	opts.Connections = 32
	opts.ConnectCost = 27 * time.Millisecond
	return opts
}

// Fleet is a running system.
type Fleet struct {
	opts     Options
	Platform *platf.Server
	// Groups maps a group's name to its upstreams. The first upstream is the
	// primary of term 1.
	Groups map[string][]*upstr.Server

	mu sync.Mutex
	// daemons holds the daemons that were started and have not been removed.
	daemons []*daemon.Daemon
	// started holds all daemons ever started, including removed ones.
	started []*daemon.Daemon
	// places maps listen addresses to their places.
	places map[string]Place
	paths  map[[2]string]*link.Path
	nextID int
}

// loopback is a listen address whose port the operating system chooses.
const loopback = "127.0.0.1:0"

// Start starts a fleet and returns once all daemons serve callers.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	fl := &Fleet{
		opts:   opts,
		Groups: make(map[string][]*upstr.Server),
		places: make(map[string]Place),
		paths:  make(map[[2]string]*link.Path),
	}
	var err error
	if fl.Platform, err = platf.Start(loopback, 500*time.Millisecond); err != nil {
		return nil, err
	}
	fl.setPlace(fl.Platform.Address(), opts.Places[0])
	if err := fl.startUpstreams(ctx); err != nil {
		fl.Close()
		return nil, err
	}
	if err := fl.putDocument(ctx); err != nil {
		fl.Close()
		return nil, err
	}
	for _, pl := range opts.Places {
		for range opts.DaemonsPerPlace {
			if _, err := fl.StartDaemon(ctx, pl); err != nil {
				fl.Close()
				return nil, err
			}
		}
	}
	return fl, nil
}

// ServiceName returns the name of a service by its index, from 0.
func ServiceName(service int) string { return fmt.Sprintf("service-%d", service+1) }

// DatabaseName returns the name of a database by its index, from 0.
func DatabaseName(database int) string { return fmt.Sprintf("db%d", database+1) }

// GroupName returns the name of a database's group by the indexes of the service
// and the database, from 0.
func GroupName(service, database int) string {
	return ServiceName(service) + "-" + DatabaseName(database)
}

func (fl *Fleet) setPlace(address string, pl Place) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.places[address] = pl
}

// groupSize is the number of upstreams in a group.
const groupSize = 3

func (fl *Fleet) startUpstreams(ctx context.Context) error {
	for se := range fl.opts.Services {
		for db := range fl.opts.DatabasesPerService {
			if err := fl.startGroup(ctx, GroupName(se, db), se*fl.opts.DatabasesPerService+db); err != nil {
				return err
			}
		}
	}
	return nil
}

// startGroup starts the upstreams of a group and registers the group with the
// platform. The primary is in the place at index, modulo the number of places, so
// that primaries are spread over the places.
func (fl *Fleet) startGroup(ctx context.Context, name string, index int) error {
	gr := store.Group{Name: name, TermNumber: 1, Primary: name + "-1"}
	for num := range groupSize {
		pl := fl.opts.Places[(num+index)%len(fl.opts.Places)]
		opts := fl.upstreamOptions(name, num, pl)
		up, err := upstr.Start(opts)
		if err != nil {
			return err
		}
		fl.Groups[name] = append(fl.Groups[name], up)
		fl.setPlace(up.Address(), pl)
		fl.setPlace(up.ControlAddress(), pl)
		gr.Members = append(gr.Members, store.Member{
			Name:        opts.Name,
			Address:     up.Address(),
			Control:     up.ControlAddress(),
			Domain:      pl.Domain,
			Region:      pl.Region,
			Connections: opts.Connections,
			Slots:       opts.Slots,
		})
	}
	_, err := fl.storeClient().PutAlways(ctx, store.KindGroup, name, gr)
	return err
}

func (fl *Fleet) upstreamOptions(group string, num int, pl Place) upstr.Options {
	opts := upstr.Options{
		Name:          fmt.Sprintf("%s-%d", group, num+1),
		Listen:        loopback,
		Control:       loopback,
		Primary:       group + "-1",
		Slots:         fl.opts.Slots,
		Connections:   fl.opts.Connections,
		ConnectCost:   fl.opts.ConnectCost,
		StatementCost: fl.opts.StatementCost,
		Lag:           fl.opts.Lag,
		Dial:          func(ctx context.Context, address string) (net.Conn, error) { return fl.dial(ctx, pl, address) },
	}
	if num > 0 {
		opts.Follow = fl.Groups[group][0].ControlAddress()
	}
	return opts
}

func (fl *Fleet) storeClient() *store.Client {
	return store.New(fl.Platform.Address(), http.DefaultTransport)
}

// scramIterations is low because the password of a fleet is not secret.
const scramIterations = 4096

// document returns the configuration document of the fleet.
func (fl *Fleet) document() (docum.Document, error) {
	verifier, err := front.MakeVerifier(Password, "fleet-salt-16byt", scramIterations)
	if err != nil {
		return docum.Document{}, err
	}
	var doc docum.Document
	for se := range fl.opts.Services {
		sv := docum.Service{
			Name:         ServiceName(se),
			DefaultClass: "standard",
			Acknowledge:  docum.AckMajority,
			Classes: []docum.ReadClass{
				{Name: "standard", MaxAge: docum.Duration(time.Second)},
				{Name: "strict"},
				{Name: "catalogue", MaxAge: docum.Duration(30 * time.Second), ServeWhenCutOff: true},
			},
		}
		for db := range fl.opts.DatabasesPerService {
			sv.Databases = append(sv.Databases, docum.Database{Name: DatabaseName(db), Group: GroupName(se, db)})
		}
		for _, name := range fl.opts.Callers {
			sv.Callers = append(sv.Callers, docum.Caller{Name: name, Verifier: verifier, Weight: 1})
		}
		doc.Services = append(doc.Services, sv)
	}
	if fl.opts.EditDocument != nil {
		fl.opts.EditDocument(&doc)
	}
	return doc, nil
}

// putDocument validates the document and stores it.
func (fl *Fleet) putDocument(ctx context.Context) error {
	doc, err := fl.document()
	if err != nil {
		return err
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	if _, err := docum.Parse(raw); err != nil {
		return errors.Wrap(err, "validate fleet document")
	}
	_, err = fl.storeClient().Put(ctx, store.KindDocument, store.CurrentDocument, 0, doc)
	return err
}

// StartDaemon starts another daemon in a place.
func (fl *Fleet) StartDaemon(ctx context.Context, pl Place) (*daemon.Daemon, error) {
	fl.mu.Lock()
	fl.nextID++
	id := fmt.Sprintf("%s-%d", pl.Domain, fl.nextID)
	fl.mu.Unlock()
	settings, err := fl.settings(id, pl)
	if err != nil {
		return nil, err
	}
	da := daemon.New(settings, fl.opts.Log, fl.daemonDependencies(pl))
	if err := da.Start(ctx); err != nil {
		return nil, err
	}
	fl.setPlace(da.PeerAddress(), pl)
	fl.mu.Lock()
	fl.daemons = append(fl.daemons, da)
	fl.started = append(fl.started, da)
	fl.mu.Unlock()
	return da, nil
}

// settings returns the settings of a daemon. At shutdown, last_call is how long
// before the deadline the daemon stops taking requests.
func (fl *Fleet) settings(id string, pl Place) (conf.Settings, error) {
	text := fmt.Sprintf(`
[daemon]
id = %s
domain = %s
region = %s
[caller]
listen = %s
[peer]
listen = %s
[admin]
listen = %s
[platform]
address = %s
list_every = 500ms
[shutdown]
deadline = 10s
last_call = 2s
`, id, pl.Domain, pl.Region, loopback, loopback, loopback, fl.Platform.Address())
	settings, err := conf.Parse(id, []byte(text))
	if err == nil && fl.opts.EditSettings != nil {
		fl.opts.EditSettings(&settings)
	}
	return settings, err
}

// daemonDependencies returns the dependencies of a daemon in a place. Its
// connections have the simulated latency.
func (fl *Fleet) daemonDependencies(pl Place) daemon.Dependencies {
	dial := func(ctx context.Context, address string) (net.Conn, error) { return fl.dial(ctx, pl, address) }
	transport := &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 16,
	}
	callers := link.NewPath(fl.opts.CallerLatency)
	deps := daemon.ProductionDependencies()
	deps.DialUpstream = dial
	deps.DialPeer = dial
	deps.PlatformTransport = transport
	deps.WrapCaller = func(nc net.Conn) net.Conn { return link.Wrap(nc, callers) }
	if fl.opts.EditDependencies != nil {
		fl.opts.EditDependencies(&deps)
	}
	return deps
}

// dial connects from a place to an address with the latency of the path between
// them. On a silent path it blocks until ctx is done.
func (fl *Fleet) dial(ctx context.Context, from Place, address string) (net.Conn, error) {
	fl.mu.Lock()
	to, ok := fl.places[address]
	fl.mu.Unlock()
	if !ok {
		to = from
	}
	path := fl.Path(from, to)
	if path.IsSilent() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	nc, err := home.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	// A TCP handshake takes one round trip.
	time.Sleep(2 * path.Latency())
	return link.Wrap(nc, path), nil
}

// Path returns the network path between two places, in both directions.
func (fl *Fleet) Path(from, to Place) *link.Path {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ke := [2]string{min(from.Domain, to.Domain), max(from.Domain, to.Domain)}
	path := fl.paths[ke]
	if path == nil {
		path = link.NewPath(fl.latency(from, to))
		fl.paths[ke] = path
	}
	return path
}

func (fl *Fleet) latency(from, to Place) time.Duration {
	switch {
	case from.Domain == to.Domain:
		return 0
	case from.Region == to.Region:
		return fl.opts.DomainLatency
	default:
		return fl.opts.RegionLatency
	}
}

// AwaitMembership waits until every daemon has all daemons in its member list.
func (fl *Fleet) AwaitMembership(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	for {
		daemons := fl.Daemons()
		settled := true
		for _, da := range daemons {
			settled = settled && da.Members() == len(daemons)
		}
		if settled {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Daemons returns the daemons that were started and have not been removed.
func (fl *Fleet) Daemons() []*daemon.Daemon {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return append([]*daemon.Daemon(nil), fl.daemons...)
}

// StartedDaemons returns all daemons ever started, including removed ones.
func (fl *Fleet) StartedDaemons() []*daemon.Daemon {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return append([]*daemon.Daemon(nil), fl.started...)
}

// PlaceOf returns the place of a daemon.
func (fl *Fleet) PlaceOf(da *daemon.Daemon) Place {
	return Place{Domain: da.Settings.Daemon.Domain, Region: da.Settings.Daemon.Region}
}

// Remove removes a stopped daemon from the list that Daemons returns.
func (fl *Fleet) Remove(da *daemon.Daemon) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for pos, other := range fl.daemons {
		if other == da {
			fl.daemons = append(fl.daemons[:pos], fl.daemons[pos+1:]...)
			return
		}
	}
}

// URL returns the connection string with which a caller connects to a daemon.
func (fl *Fleet) URL(da *daemon.Daemon, caller string, service, database int) string {
	ur := url.URL{
		Scheme:   "postgres",
		User:     url.UserPassword(caller, Password),
		Host:     da.CallerAddress(),
		Path:     "/" + ServiceName(service) + "." + DatabaseName(database),
		RawQuery: "sslmode=disable",
	}
	return ur.String()
}

// Close stops everything immediately, without draining.
func (fl *Fleet) Close() {
	for _, da := range fl.Daemons() {
		da.Kill()
	}
	for _, ups := range fl.Groups {
		for _, up := range ups {
			up.Close()
		}
	}
	if fl.Platform != nil {
		fl.Platform.Close()
	}
}
