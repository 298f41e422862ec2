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
 * The macros NO_FREEZE, NO_CONFIRM, NO_FIRST, NO_RAISE and NO_REDRAW each break one
 * rule; the checker must then find an error. So it must with LATE_RESUME, where an
 * order to receive again is carried out late: no order of steps covers that, and the
 * holder keeps a time between an unanswered one and its next change instead.
 */

#ifndef MAXLEN
#define MAXLEN 2                 /* entries written */
#endif
#ifndef MAXTOKEN
#define MAXTOKEN 4               /* tokens drawn */
#endif
#define UPSTREAMS 3
#define CALLS 3                  /* calls that may be under way */

byte leader = 0;
byte term = 1;
byte rcv[UPSTREAMS];             /* entries received */
bool frozen[UPSTREAMS];
byte acked = 0;                  /* entries acknowledged */
byte fence = 0;                  /* the highest token seen by the platform */
byte drawn = 0;                  /* the highest token drawn */
byte restarts = 0;
bool lateResume[UPSTREAMS];      /* an order to receive that is still under way */

/* calls under way; token 0 is a free place */
byte callToken[CALLS];
byte callTarget[CALLS];

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
	:: callToken[0] != 0 && callToken[1] != 0 && callToken[2] == 0 -> callToken[2] = tok; callTarget[2] = target
	:: else -> skip
	fi
}

inline draw(tok) {
	if
	:: drawn < MAXTOKEN -> drawn++; tok = drawn
	:: else -> break
	fi
}

/* One change after the other. Whether a call was answered is not told: each may
 * be under way still. */
active [2] proctype Holder() {
	byte tok, cand, other, old, seen, held;
	atomic { if :: drawn < MAXTOKEN -> drawn++; tok = drawn :: else -> goto done fi }
again:
	/* The fence is raised first, and the first freeze comes a while later: who has
	 * raised it before has either let go meanwhile or is refused now. */
#ifndef NO_FIRST
	atomic {
		if
		:: tok < fence -> goto done
		:: else -> fence = tok
		fi
	};
#endif
	/* survey */
	atomic {
		old = leader; held = term;
		if
		:: old != 0 -> cand = 0
		:: old != 1 -> cand = 1
		:: old != 2 -> cand = 2
		fi;
		other = 3 - old - cand
	};
	/* a freeze is for the next term, and refused by who knows a newer one */
	atomic {
#ifndef NO_FREEZE
		if
		:: term > held || other == leader -> goto done
		:: else -> frozen[other] = true
		fi;
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
	/* the call is given up, or the candidate leads */
	if
	:: leader == cand -> goto next
	:: skip
	fi;
giveUp:
	/* Before the frozen one receives again no call of this change may be under
	 * way: a call for the present leader with a newer token raises the fence. */
#ifndef NO_RAISE
	atomic {
		if :: drawn < MAXTOKEN -> drawn++; tok = drawn :: else -> goto done fi;
	};
	atomic {
		/* answered; refused if there is a newer holder, and nobody is let go then */
		if
		:: tok < fence -> goto done
		:: else -> fence = tok
		fi
	};
#endif
	atomic {
#ifdef LATE_RESUME
		if
		:: fence == tok -> lateResume[other] = true
		:: else -> goto done
		fi
#else
		/* the holder's next step comes soon after the raise, or not at all */
		if
		:: fence == tok -> frozen[other] = false
		:: else -> goto done
		fi
#endif
	};
next:
#ifndef NO_REDRAW
	atomic {
		if :: drawn < MAXTOKEN -> drawn++; tok = drawn :: else -> goto done fi
	};
#endif
	goto again;
done:
	skip
}
