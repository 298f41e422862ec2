/* Leases on leadership, where a replaced leader goes on and nobody checks the fence.
 * There are one group of three upstreams, two instances that read and write, and two
 * coordinators of which the second takes over a change that the first has abandoned.
 * Every step may be late or never happen; a call may be executed at any later time.
 *
 * Assertions:
 *   - A leader has everything that was acknowledged when it is appointed.
 *   - A strict read sees everything that was acknowledged before it began.
 *
 * An entry belongs to a term; a log is modelled by the number of its entries of each
 * term, because a term has one leader and a replica that follows a newer leader takes
 * over its log. Time is modelled by the order of steps: the last replica is frozen,
 * then every lease that was confirmed before ends, then the new leader may be written
 * to (mayWrite). A lease that was confirmed later does not delay that.
 *
 * Each of the macros NO_LEASE, NO_FREEZE, NO_HOLD, NO_CONFIRM and NO_SAME disables one
 * rule; the checker must then report an error.
 */

#define UPSTREAMS 3
#define TERMS 3                  /* highest term number; terms start at 1 */
#ifndef MAXLEN
#define MAXLEN 1                 /* maximum number of entries in a term */
#endif
#define N(u, t) log[(u) * 4 + (t)]

byte log[12];                    /* entries of each term that an upstream has received */
byte acked[4];                   /* acknowledged entries of each term */
byte term[UPSTREAMS];            /* newest term that the upstream knows or leads */
bool leads[UPSTREAMS];
bool frozen[UPSTREAMS];
byte owner[4];                   /* leader of each term */
byte newest = 1;
bool mayWrite[4];
byte leaseOn[2];                 /* term of each instance's lease; 0 if none */
bool lateLease[2];               /* it was confirmed after the replicas were frozen */
bool waiting = false;            /* all replicas are frozen and leases are running out */
byte callTarget[2];              /* calls in flight: upstream + 1; 0 marks a free slot */
bool callStopped[2];             /* the old leader had stepped down */
bool done[2];                    /* the coordinator has ended */

#define HAS_ALL(u) (N(u, 1) >= acked[1] && N(u, 2) >= acked[2] && N(u, 3) >= acked[3])
/* the log of u is behind that of v */
#define BEHIND(u, v) (N(u, 3) < N(v, 3) || (N(u, 3) == N(v, 3) && (N(u, 2) < N(v, 2) || \
	(N(u, 2) == N(v, 2) && N(u, 1) < N(v, 1)))))

inline take(u, v) { N(u, 1) = N(v, 1); N(u, 2) = N(v, 2); N(u, 3) = N(v, 3) }

#define FOLLOW(u, v) \
	:: atomic { leads[v] && !leads[u] && !frozen[u] && term[u] == term[v] && BEHIND(u, v) -> take(u, v) }
#define ACKNOWLEDGE(u, v) \
	:: atomic { leads[u] && !leads[v] && term[v] == term[u] && N(v, term[u]) > acked[term[u]] -> \
		acked[term[u]] = N(v, term[u]) }

/* no instance has a lease that was confirmed before the replicas were frozen */
#define EARLY(k) (leaseOn[k] > 0 && leaseOn[k] < newest && !lateLease[k])
#ifdef NO_HOLD
#define NO_EARLY_LEASE true
#else
#define NO_EARLY_LEASE (!EARLY(0) && !EARLY(1))
#endif

inline wait_for_leases() { waiting = true; lateLease[0] = false; lateLease[1] = false }

/* a call is executed; nobody checks its token */
inline carry(c) {
	target = callTarget[c] - 1;
	if
	:: leads[target] && term[target] == newest -> skip
	:: newest == TERMS -> skip
	:: else ->
		assert(HAS_ALL(target));
		newest++;
		owner[newest] = target;
		leads[target] = true;
		mayWrite[newest] = callStopped[c] && mayWrite[newest - 1];
		other = 0;
		do
		:: other < UPSTREAMS ->
			if
			:: leads[other] && other != target -> skip      /* an old leader goes on */
			:: else -> term[other] = newest; frozen[other] = false;
				if :: other != target -> take(other, target) :: else -> skip fi
			fi;
			other++
		:: else -> break
		od
	fi;
	callTarget[c] = 0; target = 0; other = 0
}

active proctype Group() {
	byte target, other;
	atomic {
		leads[0] = true; mayWrite[1] = true;
		term[0] = 1; term[1] = 1; term[2] = 1
	};
	do
	FOLLOW(0, 1) FOLLOW(0, 2) FOLLOW(1, 0) FOLLOW(1, 2) FOLLOW(2, 0) FOLLOW(2, 1)
	ACKNOWLEDGE(0, 1) ACKNOWLEDGE(0, 2) ACKNOWLEDGE(1, 0) ACKNOWLEDGE(1, 2) ACKNOWLEDGE(2, 0) ACKNOWLEDGE(2, 1)
	/* an old leader reaches the new one */
	:: atomic { leads[0] && term[0] < newest -> leads[0] = false; term[0] = newest; take(0, owner[newest]) }
	:: atomic { leads[1] && term[1] < newest -> leads[1] = false; term[1] = newest; take(1, owner[newest]) }
	:: atomic { leads[2] && term[2] < newest -> leads[2] = false; term[2] = newest; take(2, owner[newest]) }
	:: atomic { callTarget[0] > 0 -> carry(0) }
	:: atomic { callTarget[1] > 0 -> carry(1) }
	/* the leases that were confirmed before the freeze have ended */
	:: atomic { newest > 1 && !mayWrite[newest] && waiting && NO_EARLY_LEASE -> mayWrite[newest] = true }
	od
}

/* replica v confirms the leader of its term to instance k */
#ifdef NO_LEASE
#define CONFIRMS(v) (!leads[v])
#else
#define CONFIRMS(v) (!leads[v] && !frozen[v])
#endif
#define CONFIRM(k, v) \
	:: atomic { CONFIRMS(v) -> leaseOn[k] = term[v]; lateLease[k] = waiting }
#define LEADER(k) owner[leaseOn[k]]
#define ACCEPTS(k) (leaseOn[k] > 0 && leads[LEADER(k)] && term[LEADER(k)] == leaseOn[k])

active [2] proctype Instance() {
	byte me = _pid - 1;
	do
	CONFIRM(me, 0) CONFIRM(me, 1) CONFIRM(me, 2)
	:: atomic { leaseOn[me] > 0 -> leaseOn[me] = 0; lateLease[me] = false }
	/* a read begins and runs while the lease lasts */
	:: atomic { ACCEPTS(me) -> assert(HAS_ALL(LEADER(me))) }
	:: atomic { ACCEPTS(me) && mayWrite[leaseOn[me]] && N(LEADER(me), leaseOn[me]) < MAXLEN ->
		N(LEADER(me), leaseOn[me]) = N(LEADER(me), leaseOn[me]) + 1 }
	od
}

/* Coordinator 0 changes the leader once and may fail at any step. Coordinator 1 takes
 * over after it has ended: by time no step of coordinator 0 can follow, but its call
 * may be executed later. */
active [2] proctype Coordinator() {
	byte me = _pid - 3;
	byte old, cand, rest, held;
	bool adopted, all, stopped;
	if :: me == 1 -> done[0] :: else -> skip fi;
	atomic {
		old = owner[newest]; held = newest;
		if
		:: old == 0 -> cand = 1; rest = 2
		:: old == 1 -> cand = 0; rest = 2
		:: old == 2 -> cand = 0; rest = 1
		fi;
		/* the replica with more, or the first; the one that is not frozen if a change was
		 * abandoned */
		if
		:: !frozen[cand] && frozen[rest] -> adopted = true
		:: frozen[cand] && !frozen[rest] -> adopted = true; held = cand; cand = rest; rest = held; held = newest
		:: else ->
			if :: BEHIND(cand, rest) -> held = cand; cand = rest; rest = held; held = newest :: else -> skip fi
		fi;
#ifdef NO_SAME
		adopted = false;
		if :: skip :: held = cand; cand = rest; rest = held; held = newest fi;
#endif
	};
	if :: skip :: goto end fi;
	/* freeze one, or both if the old leader is silent */
	if
	:: atomic { newest == held -> frozen[rest] = true }
	:: atomic { newest == held -> frozen[rest] = true; frozen[cand] = true; all = true; wait_for_leases() }
	:: newest != held -> goto end
	fi;
	if :: skip :: goto end fi;
	atomic {
		if
		:: newest != held -> goto end
		:: else -> skip
		fi;
		/* the order to step down is answered, or not */
		if
		:: term[old] == held -> leads[old] = false; stopped = true
		:: !all ->
#ifndef NO_FREEZE
			frozen[cand] = true;
#endif
			wait_for_leases(); all = true
		:: all -> skip
		fi
	};
	atomic {
#ifndef NO_CONFIRM
		if
		:: newest != held -> goto end
		:: newest == held && BEHIND(cand, rest) && all && frozen[cand] -> held = cand; cand = rest; rest = held
		:: newest == held && BEHIND(cand, rest) && !(all && frozen[cand]) -> goto end
		:: newest == held && !BEHIND(cand, rest) && !BEHIND(rest, cand) && all && !adopted && rest < cand ->
			held = cand; cand = rest; rest = held
		:: else -> skip
		fi;
#endif
		callTarget[me] = cand + 1; callStopped[me] = stopped
	};
end:
	done[me] = true
}
