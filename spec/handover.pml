/* Change of leader on the users' platform. A write is acknowledged once one replica
 * has received it, replicas can be frozen, and a call that appoints a leader may be
 * executed long after its coordinator has given up on it. There are one group of three
 * upstreams, a fourth one that may join, and two coordinators (the type Holder: holders
 * of the duty). Every step may be late or never happen.
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
 * relied on.
 *
 * Each of these macros adds an event that the rules do not cover; the checker reports
 * an error with each:
 *   JOIN           a fourth upstream joins
 *   RESTART        a frozen replica restarts and receives again
 *   UNLISTED       a replica that is running has no entry for a while
 *   LEAVE          a replica leaves: it is not a candidate, and its log goes with it
 *   SECOND_RESUME  a resume command is executed again, late
 *   EARLY_STATUS   the position in the answer to a freeze is from before the freeze
 *   DEAD           a coordinator takes a live leader for dead, and does not look for
 *                  replicas that are frozen for another coordinator
 */

#ifndef MAXLEN
#define MAXLEN 2                 /* maximum number of entries */
#endif
#ifndef MAXTOKEN
#define MAXTOKEN 4               /* maximum number of tokens drawn */
#endif
#define UPSTREAMS 4
#ifndef CALLS
#define CALLS 3                  /* calls that may be in flight, at most 3 */
#endif

byte leader = 0;
byte term = 1;
byte rcv[UPSTREAMS];             /* received entries */
bool frozen[UPSTREAMS];
bool live[UPSTREAMS];            /* the process runs */
bool listed[UPSTREAMS];          /* the platform lists it */
bool leaving[UPSTREAMS];
byte acked = 0;                  /* acknowledged entries */
byte fence = 0;                  /* highest token that the platform has seen */
byte drawn = 0;                  /* highest token drawn */
bool lateResume[UPSTREAMS];      /* a resume command is in flight */
bool used = false;               /* the event of a macro that happens once has happened */

/* calls in flight; token 0 marks a free slot */
byte callToken[3];
byte callTarget[3];

#define TRUNCATE(i) if :: rcv[i] > rcv[leader] -> rcv[i] = rcv[leader] :: else fi

/* execute a call; its token is checked against the fence only now */
inline carry(c) {
	if
	:: callToken[c] < fence || !live[callTarget[c]] -> skip
	:: else ->
		fence = callToken[c];
		if
		:: callTarget[c] == leader -> skip
		:: else ->
			assert(rcv[callTarget[c]] >= acked);
			leader = callTarget[c];
			term++;
			frozen[0] = false; frozen[1] = false; frozen[2] = false; frozen[3] = false;
			TRUNCATE(0); TRUNCATE(1); TRUNCATE(2); TRUNCATE(3)
		fi
	fi;
	callToken[c] = 0; callTarget[c] = 0;
}

#define RECEIVE(i) \
	:: atomic { live[i] && i != leader && !frozen[i] && rcv[i] < rcv[leader] -> rcv[i]++ }
#define ACKNOWLEDGE(i) \
	:: atomic { live[i] && i != leader && rcv[i] > acked -> acked = rcv[i] }

active proctype Upstreams() {
	atomic {
		live[0] = true; live[1] = true; live[2] = true;
		listed[0] = true; listed[1] = true; listed[2] = true
	};
	do
	:: atomic { rcv[leader] < MAXLEN -> rcv[leader]++ }
	RECEIVE(0) RECEIVE(1) RECEIVE(2) RECEIVE(3)
	ACKNOWLEDGE(0) ACKNOWLEDGE(1) ACKNOWLEDGE(2) ACKNOWLEDGE(3)
	od
}

#define EXECUTE_CALL(c) :: atomic { callToken[c] != 0 -> carry(c) }
#define EXECUTE_RESUME(i) \
	:: atomic { lateResume[i] -> lateResume[i] = false; frozen[i] = false }
#define RESTARTS(i) \
	:: atomic { !used && frozen[i] -> used = true; frozen[i] = false }
#define LOSES_ENTRY(i) \
	:: atomic { !used && i != leader && listed[i] -> used = true; listed[i] = false } \
	:: atomic { live[i] && !listed[i] -> listed[i] = true }
#define LEAVES(i) \
	:: atomic { !used && i != leader && listed[i] -> used = true; leaving[i] = true } \
	:: atomic { leaving[i] && i != leader -> leaving[i] = false; live[i] = false; \
		listed[i] = false; frozen[i] = false; rcv[i] = 0 }

active proctype Platform() {
	do
	EXECUTE_CALL(0) EXECUTE_CALL(1) EXECUTE_CALL(2)
#if defined(LATE_RESUME) || defined(SECOND_RESUME)
	EXECUTE_RESUME(0) EXECUTE_RESUME(1) EXECUTE_RESUME(2)
#endif
#ifdef JOIN
	:: atomic { !live[3] && live[2] -> live[3] = true; listed[3] = true }
#endif
#ifdef RESTART
	RESTARTS(0) RESTARTS(1) RESTARTS(2)
#endif
#ifdef UNLISTED
	LOSES_ENTRY(0) LOSES_ENTRY(1) LOSES_ENTRY(2)
#endif
#ifdef LEAVE
	LEAVES(0) LEAVES(1) LEAVES(2)
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

#define IS_REPLICA(i) (listed[i] && i != old)
#define MAY_LEAD(i) (IS_REPLICA(i) && !leaving[i])
#define IS_FOREIGN(i) (IS_REPLICA(i) && frozen[i])
#define ASK(i) asked[i] = IS_REPLICA(i) && i != cand
#define READ(i) if :: asked[i] && rcv[i] > seen -> seen = rcv[i] :: else fi
#define FREEZE(i) if :: asked[i] && live[i] -> frozen[i] = true :: else fi
#define IS_NEW(i) (IS_REPLICA(i) && i != cand && !asked[i])
/* a replica stays frozen if its resume command is late, and with SECOND_RESUME the
 * command is executed a second time */
#if defined(LATE_RESUME)
#define RESUME(i) if :: asked[i] -> lateResume[i] = true :: else fi
#elif defined(SECOND_RESUME)
#define RESUME(i) if :: asked[i] -> frozen[i] = false; lateResume[i] = true :: else fi
#else
#define RESUME(i) if :: asked[i] -> frozen[i] = false :: else fi
#endif
#ifdef DEAD
#define MAY_BE_DEAD true
#else
#define MAY_BE_DEAD false
#endif

/* A coordinator makes one change after the other. Answers to calls are not modelled:
 * any call may still be in flight. */
active [2] proctype Holder() {
	byte tok, cand, old, seen, held;
	bool asked[UPSTREAMS];        /* the replicas that are frozen for this change */
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
		:: !pending && MAY_LEAD(0) -> cand = 0
		:: !pending && MAY_LEAD(1) -> cand = 1
		:: !pending && MAY_LEAD(2) -> cand = 2
		:: !pending && MAY_LEAD(3) -> cand = 3
		:: else -> goto done
		fi;
#else
		if
		:: MAY_LEAD(0) -> cand = 0
		:: MAY_LEAD(1) -> cand = 1
		:: MAY_LEAD(2) -> cand = 2
		:: MAY_LEAD(3) -> cand = 3
		:: else -> goto done
		fi;
#endif
#ifndef NO_FREEZE
#ifndef NO_FOREIGN
		/* another coordinator has frozen it and may resume it at any time */
		if
		:: (IS_FOREIGN(0) || IS_FOREIGN(1) || IS_FOREIGN(2) || IS_FOREIGN(3)) && !pending -> goto done
		:: MAY_BE_DEAD || pending || !(IS_FOREIGN(0) || IS_FOREIGN(1) || IS_FOREIGN(2) || IS_FOREIGN(3)) -> skip
		fi;
#endif
#endif
		ASK(0); ASK(1); ASK(2); ASK(3);
		seen = 0; READ(0); READ(1); READ(2); READ(3);
#ifdef EARLY_STATUS
	};
	atomic {
#endif
#ifndef NO_FREEZE
		FREEZE(0); FREEZE(1); FREEZE(2); FREEZE(3)
#endif
	};
	atomic {
#ifndef NO_CONFIRM
		if
		:: term > held || rcv[cand] < seen -> goto giveUp
		:: IS_NEW(0) || IS_NEW(1) || IS_NEW(2) || IS_NEW(3) -> goto giveUp
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
		:: !pending -> RESUME(0); RESUME(1); RESUME(2); RESUME(3)
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
