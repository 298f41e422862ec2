/* Change of leader on the users' platform. A write is acknowledged once one replica
 * has received it, replicas can be frozen, and a call that appoints a leader may be
 * executed long after its coordinator has given up on it. There are one group of three
 * upstreams and two coordinators (the type Holder: holders of the duty). Every step
 * may be late or never happen.
 *
 * Assertion: an appointed leader has received everything that was acknowledged.
 *
 * A log is modelled by its length, because only the single leader appends entries and
 * a replica that follows a new leader truncates its log to the leader's.
 *
 * Each of the macros NO_FREEZE, NO_CONFIRM, NO_FOREIGN, NO_PENDING, NO_SAME and
 * NO_REDRAW disables one rule; the checker must then report an error. It must also
 * report one with RAISE_BY_CALL, where the fence is raised by a call that appoints the
 * present leader. With LATE_RESUME a command to resume a frozen replica may be executed
 * late, and the assertion still holds, because a replica that is found frozen is not
 * relied on. A resume command that is sent twice is not modelled; against it, a
 * coordinator lets a minimum time pass between an unanswered one and its next change.
 */

#ifndef MAXLEN
#define MAXLEN 2                 /* maximum number of entries */
#endif
#ifndef MAXTOKEN
#define MAXTOKEN 4               /* maximum number of tokens drawn */
#endif
#define UPSTREAMS 3
#ifndef CALLS
#define CALLS 3                  /* calls that may be in flight, at most 3 */
#endif

byte leader = 0;
byte term = 1;
byte rcv[UPSTREAMS];             /* received entries */
bool frozen[UPSTREAMS];
byte acked = 0;                  /* acknowledged entries */
byte fence = 0;                  /* highest token that the platform has seen */
byte drawn = 0;                  /* highest token drawn */
bool lateResume[UPSTREAMS];      /* a resume command is in flight */

/* calls in flight; token 0 marks a free slot */
byte callToken[3];
byte callTarget[3];

/* execute a call; its token is checked against the fence only now */
inline carry(c) {
	if
	:: callToken[c] < fence -> skip
	:: else ->
		fence = callToken[c];
		if
		:: callTarget[c] == leader -> skip
		:: else ->
			assert(rcv[callTarget[c]] >= acked);
			leader = callTarget[c];
			term++;
			frozen[0] = false; frozen[1] = false; frozen[2] = false;
			if :: rcv[0] > rcv[leader] -> rcv[0] = rcv[leader] :: else fi;
			if :: rcv[1] > rcv[leader] -> rcv[1] = rcv[leader] :: else fi;
			if :: rcv[2] > rcv[leader] -> rcv[2] = rcv[leader] :: else fi;
		fi
	fi;
	callToken[c] = 0; callTarget[c] = 0;
}

#define RECEIVES(i) (i != leader && !frozen[i] && rcv[i] < rcv[leader])

active proctype Upstreams() {
	do
	:: atomic { rcv[leader] < MAXLEN -> rcv[leader]++ }
	:: atomic { RECEIVES(0) -> rcv[0]++ }
	:: atomic { RECEIVES(1) -> rcv[1]++ }
	:: atomic { RECEIVES(2) -> rcv[2]++ }
	:: atomic { leader != 0 && rcv[0] > acked -> acked = rcv[0] }
	:: atomic { leader != 1 && rcv[1] > acked -> acked = rcv[1] }
	:: atomic { leader != 2 && rcv[2] > acked -> acked = rcv[2] }
	od
}

active proctype Platform() {
	do
	:: atomic { callToken[0] != 0 -> carry(0) }
	:: atomic { callToken[1] != 0 -> carry(1) }
	:: atomic { callToken[2] != 0 -> carry(2) }
#ifdef LATE_RESUME
	:: atomic { lateResume[0] -> lateResume[0] = false; frozen[0] = false }
	:: atomic { lateResume[1] -> lateResume[1] = false; frozen[1] = false }
	:: atomic { lateResume[2] -> lateResume[2] = false; frozen[2] = false }
#endif
	od
}

/* send a call; it is executed at any later time, or never */
inline place(tok, target) {
	if
	:: callToken[0] == 0 -> callToken[0] = tok; callTarget[0] = target
	:: callToken[0] != 0 && callToken[1] == 0 -> callToken[1] = tok; callTarget[1] = target
	:: CALLS > 2 && callToken[0] != 0 && callToken[1] != 0 && callToken[2] == 0 -> callToken[2] = tok; callTarget[2] = target
	:: else -> skip
	fi
}

/* A coordinator makes one change after the other. Answers to calls are not modelled:
 * any call may still be in flight. */
active [2] proctype Holder() {
	byte tok, cand, other, old, seen, held;
	bool pending;                /* an unanswered call for cand may still be executed */
	atomic { if :: drawn < MAXTOKEN -> drawn++; tok = drawn :: else -> goto done fi }
again:
#ifdef RAISE_BY_CALL
	/* raise the fence by a call for the leader as it is known now; the call may be
	 * executed late */
	atomic { old = leader; skip };
	atomic { place(tok, old) };
#endif
	/* Survey and freeze, at most a round trip apart. A freeze is for the next term, and
	 * an upstream that knows a newer term refuses it. */
	atomic {
		old = leader; held = term;
#ifndef NO_SAME
		/* the unanswered call was for the present leader: that change is done */
		if :: pending && cand == old -> pending = false; goto next :: else -> skip fi;
		if
		:: pending -> skip
		:: !pending && old != 0 -> cand = 0
		:: !pending && old != 1 -> cand = 1
		:: !pending && old != 2 -> cand = 2
		fi;
#else
		if
		:: old != 0 -> cand = 0
		:: old != 1 -> cand = 1
		:: old != 2 -> cand = 2
		fi;
#endif
		other = 3 - old - cand;
#ifndef NO_FREEZE
#ifndef NO_FOREIGN
		/* another coordinator has frozen it and may resume it at any time */
		if :: (frozen[other] || frozen[cand]) && !pending -> goto done :: else -> skip fi;
#endif
		frozen[other] = true;
#endif
		seen = rcv[other]
	};
	atomic {
#ifndef NO_CONFIRM
		if
		:: term > held || rcv[cand] < seen -> goto giveUp
		:: else -> skip
		fi;
#endif
		place(tok, cand)
	};
	/* an unanswered call is repeated */
	atomic { if :: place(tok, cand) :: skip fi };
	/* either the candidate leads, or the call stays pending for now */
	atomic {
		if
		:: leader == cand -> pending = false
		:: pending = true
		fi
	};
	goto next;
giveUp:
	/* a replica stays frozen while a pending call may rely on it */
	atomic {
#ifdef NO_PENDING
		pending = false;
#endif
		if
		:: pending -> skip
#ifdef LATE_RESUME
		:: !pending -> lateResume[other] = true
#else
		:: !pending -> frozen[other] = false
#endif
		fi
	};
next:
	/* A repeated call has the token of the first one, so that the token of a newer
	 * coordinator fences off both; the next change draws a newer token. */
#ifndef NO_REDRAW
	atomic {
		if
		:: pending -> skip
		:: !pending && drawn < MAXTOKEN -> drawn++; tok = drawn
		:: else -> goto done
		fi
	};
#endif
	goto again;
done:
	skip
}
