/* Change of leader on the users' platform: writes are acknowledged once one
 * replica has received them, replicas can be frozen, and a call that appoints a
 * leader may be carried out long after it was given up. One group of three
 * upstreams and two holders of the duty. Every step may be late or never come.
 *
 * What is checked: whoever is appointed has received all that was acknowledged.
 *
 * Logs are lengths: entries are only ever appended by the one leader, and who
 * follows a new leader cuts its log to the leader's.
 *
 * The macros NO_FREEZE, NO_CONFIRM, NO_FOREIGN, NO_PENDING, NO_SAME and NO_REDRAW each break
 * one rule; the checker must then find an error. So it must with RAISE_BY_CALL, where
 * the fence is raised by a call for the present leader. With LATE_RESUME an order to
 * receive again may be carried out late, and the rules still hold: a replica that is
 * found frozen is not relied on. An order that is sent twice is not modelled; the
 * holder keeps a time between an unanswered one and its next change for that.
 */

#ifndef MAXLEN
#define MAXLEN 2                 /* entries written */
#endif
#ifndef MAXTOKEN
#define MAXTOKEN 4               /* tokens drawn */
#endif
#define UPSTREAMS 3
#ifndef CALLS
#define CALLS 3                  /* calls that may be under way, 3 at the most */
#endif

byte leader = 0;
byte term = 1;
byte rcv[UPSTREAMS];             /* entries received */
bool frozen[UPSTREAMS];
byte acked = 0;                  /* entries acknowledged */
byte fence = 0;                  /* the highest token seen by the platform */
byte drawn = 0;                  /* the highest token drawn */
bool lateResume[UPSTREAMS];      /* an order to receive that is still under way */

/* calls under way; token 0 is a free place */
byte callToken[3];
byte callTarget[3];

/* carry a call out: its fence is checked now */
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

/* place a call; it is carried out at any time, or never */
inline place(tok, target) {
	if
	:: callToken[0] == 0 -> callToken[0] = tok; callTarget[0] = target
	:: callToken[0] != 0 && callToken[1] == 0 -> callToken[1] = tok; callTarget[1] = target
	:: CALLS > 2 && callToken[0] != 0 && callToken[1] != 0 && callToken[2] == 0 -> callToken[2] = tok; callTarget[2] = target
	:: else -> skip
	fi
}

/* One change after the other. Whether a call was answered is not told: each may
 * be under way still. */
active [2] proctype Holder() {
	byte tok, cand, other, old, seen, held;
	bool pending;                /* a call was not answered */
	atomic { if :: drawn < MAXTOKEN -> drawn++; tok = drawn :: else -> goto done fi }
again:
#ifdef RAISE_BY_CALL
	/* raise the fence by a call for the leader as it is known, which may be late */
	atomic { old = leader; skip };
	atomic { place(tok, old) };
#endif
	/* Survey and freeze, a round trip apart at most. A freeze is for the next term,
	 * and refused by who knows a newer one. */
	atomic {
		old = leader; held = term;
#ifndef NO_SAME
		/* the call that is under way is for this one */
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
		/* who has frozen it may let it go at any time */
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
	/* a call that was not answered is made again */
	atomic { if :: place(tok, cand) :: skip fi };
	/* the candidate leads, or the call is given up for now */
	atomic {
		if
		:: leader == cand -> pending = false
		:: pending = true
		fi
	};
	goto next;
giveUp:
	/* what a call may still rely on stays frozen */
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
	/* A call is made again with its own token, so that a newer holder's keeps both
	 * out; the next change takes a newer one. */
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
