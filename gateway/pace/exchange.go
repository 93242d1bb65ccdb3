package pace

import (
	"context"
	"slices"
	"time"

	"acaciawinch/core/fault"
	core "acaciawinch/core/pace"
	"acaciawinch/core/ratelimit"
	"acaciawinch/core/routes"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/wire/wirepb"
)

// exchangeTimeout bounds one call of a holder. Calls take a few milliseconds; the remainder is for busy processors.
const exchangeTimeout = 300 * time.Millisecond

// sharing is the state of the exchange on one service.
type sharing struct {
	// holder is the gateway that responded last; silent are the incarnations of those that did not respond.
	holder ratelimit.Candidate
	silent map[string]bool
	// table is the number of the last table, made by the incarnation maker.
	table uint64
	maker string
}

// candidateOf converts a member to a candidate for the holder.
func candidateOf(m view.Member) ratelimit.Candidate {
	return ratelimit.Candidate{Name: m.Name, Incarnation: m.Incarnation}
}

// takeMembers takes the present list of the other gateways. k.mu must be held.
func (k *Keeper) takeMembers() {
	list := k.options.Fleet.Members()
	if len(list) == len(k.memberList) && (len(list) == 0 || &list[0] == &k.memberList[0]) {
		return // the View makes a new list for each change
	}
	k.memberList = list
	others := make([]ratelimit.Candidate, len(list))
	for i, member := range list {
		others[i] = candidateOf(member)
	}
	k.candidates.SetOthers(others)
}

// Leave makes other gateways the holders, if there are any.
func (k *Keeper) Leave() {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.candidates.Leave()
}

// engineServices returns the names of the services with engines, sorted.
func (k *Keeper) engineServices() []string {
	table, upstreams := k.options.Fleet.Table(), k.options.Fleet.Upstreams()
	if table == nil || upstreams == nil {
		return nil
	}
	var services []string
	upstreams.Each(func(upstream routes.Upstream) {
		service := table.Service(upstream.Service)
		if service != nil && service.Engine != nil && !slices.Contains(services, upstream.Service) {
			services = append(services, upstream.Service)
		}
	})
	slices.Sort(services)
	return services
}

// exchange sends the new observations of a service to its holder and takes the merged values. If the holder does
// not respond, the observations are sent with the next ones and the last values stay in use.
func (k *Keeper) exchange(ctx context.Context, service string) {
	holder, digest, request := k.nextDigest(service, time.Now())
	reply, err := k.send(ctx, holder, request)
	k.mu.Lock()
	defer k.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		k.table(service).Return(digest)
		k.unshared(service, holder, err)
		return
	}
	k.shared(service, holder, reply)
}

// nextDigest returns the holder of a service and the message to it.
func (k *Keeper) nextDigest(service string, now time.Time) (ratelimit.Candidate, []core.Summary, *wirepb.PaceDigest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	holder := k.chooseHolder(service)
	digest := k.table(service).Digest(now)
	s := k.sharing(service)
	request := &wirepb.PaceDigest{Service: service, Observations: messagesOf(digest), Table: s.table, Holder: s.maker}
	return holder, digest, request
}

// chooseHolder returns the gateway to exchange with: one that did not respond is tried again from time to time.
// k.mu must be held.
func (k *Keeper) chooseHolder(service string) ratelimit.Candidate {
	key := "engine pace of " + service
	if silent, due := k.candidates.Probe(clock.Boot(), key); due {
		return silent
	}
	return k.candidates.Choose(key)
}

// send exchanges a digest with a holder, which may be this process.
func (k *Keeper) send(ctx context.Context, holder ratelimit.Candidate, request *wirepb.PaceDigest) (*wirepb.PaceTable, error) {
	if holder.Incarnation == k.options.Self.Incarnation {
		return k.merge(request, time.Now()), nil
	}
	k.metrics.exchanges.Inc(1)
	address, known := k.addressOf(holder)
	if !known {
		return nil, fault.New(fault.Unavailable, "pace.exchange", holder.Name, "the gateway is gone")
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := wirepb.NewDRPCEnginePaceClient(k.options.Dialer.Conn(ctx, address)).Exchange(ctx, request)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "pace.exchange", holder.Name, err)
	}
	return reply, nil
}

// addressOf returns the address of a holder, and false if it is no longer a member.
func (k *Keeper) addressOf(holder ratelimit.Candidate) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := slices.IndexFunc(k.memberList, func(m view.Member) bool { return m.Incarnation == holder.Incarnation })
	if i < 0 {
		return "", false
	}
	return k.memberList[i].Address, true
}

// sharing returns the state of the exchange on a service. k.mu must be held.
func (k *Keeper) sharing(service string) *sharing {
	s := k.shares[service]
	if s == nil {
		s = &sharing{silent: make(map[string]bool)}
		k.shares[service] = s
	}
	return s
}

// shared takes the reply of a holder. k.mu must be held.
func (k *Keeper) shared(service string, holder ratelimit.Candidate, reply *wirepb.PaceTable) {
	k.candidates.Responded(holder.Incarnation)
	s := k.sharing(service)
	merged := summariesOf(reply.GetEngines())
	k.table(service).Apply(merged, time.Now())
	s.table, s.maker = reply.GetTable(), reply.GetHolder()
	if s.holder == holder && !s.silent[holder.Incarnation] {
		return
	}
	k.options.Logger.Event(event.PaceShared, observe.Fields{"service": service, "holder": holder.Name, "before": s.holder.Name, "engines": len(merged)})
	s.holder = holder
	delete(s.silent, holder.Incarnation)
}

// unshared records that a holder did not respond. It is logged once until the holder responds. k.mu must be held.
func (k *Keeper) unshared(service string, holder ratelimit.Candidate, err error) {
	k.metrics.failures.Inc(1)
	k.candidates.Silent(clock.Boot(), holder.Incarnation)
	s := k.sharing(service)
	if s.silent[holder.Incarnation] {
		return
	}
	if len(s.silent) >= k.candidates.Count() {
		clear(s.silent) // most of them are no longer members
	}
	s.silent[holder.Incarnation] = true
	k.options.Logger.Warn(event.PaceUnshared, observe.Fields{"service": service, "holder": holder.Name, "error": err.Error()})
}
